// Package operator implements the operators' gRPC API of a node.
//
// Any node accepts any call. A change is acknowledged only after it has been read back
// from the log; no response claims more than that.
package operator
