// Package operator serves the operators' gRPC API on a node.
//
// Any node takes any call. A change counts once it was read back from the log;
// an answer never claims more than that.
package operator
