// Package capacity measures, on small stand-ins, what one more of each thing costs a
// node, and computes from these slopes what the roles of the fleet cost at a larger
// size. docs/CAPACITY.md holds the result; a figure there is measured when it is one
// of the slopes and computed when it is a product of them.
package capacity
