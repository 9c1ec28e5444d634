// Package capacity measures on small samples what one more item or operation of each kind
// costs a node, and computes from these slopes what the roles cost in a larger fleet.
// docs/CAPACITY.md holds the results: figures that are slopes are measured, and products of
// slopes are computed.
package capacity
