// Package node assembles one node of the fleet.
//
// Clock, transport and platform clients are passed in, nothing is global, so a
// test can drive many nodes in one process and freeze, cut or kill any of them at
// any step. All nodes run the same program; roles are taken, never configured.
package node
