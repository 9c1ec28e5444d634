// Package operatorv1 is how operators and their tools speak to any node, over gRPC.
package operatorv1
