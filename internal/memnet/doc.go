// Package memnet implements a network in memory for tests in virtual time: hosts listen and dial by
// IP address, and the path between two hosts can be cut in the ways in which real paths are.
package memnet
