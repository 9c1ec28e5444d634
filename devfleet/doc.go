// Package devfleet runs a small fleet in one process on embedded stand-ins, for the
// development command, for measurements and for tests.
package devfleet
