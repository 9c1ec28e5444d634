// Package record encodes and decodes what one record of the log holds: a batch, the
// batches of several writers, or either of them packed.
package record
