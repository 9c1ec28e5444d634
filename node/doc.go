// Package node assembles one node of the fleet.
//
// Clock, transport and platform clients are injected and there is no global state, so a test
// can run many nodes in one process and pause, partition or kill any of them at any step. All
// nodes run the same program; roles are acquired at run time, never configured.
package node
