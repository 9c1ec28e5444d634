// Package record encodes and decodes the records of the log. A record holds one batch or
// the batches of several writers, and either may be packed (compressed).
package record
