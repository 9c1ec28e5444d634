// Package repeats bounds how much load a node adds by sending requests again.
//
// All nodes together have one budget a service: in each window a share of the requests
// for it, plus a fixed number. Each node keeps to the share of its own requests and to
// an even part of the fixed number, so that the sum holds without the nodes asking each
// other, also while some of them are cut off.
package repeats
