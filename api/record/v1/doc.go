// Package recordv1 is what the records of the log hold: batches of entries, and the folded state that snapshots write again.
package recordv1
