// Package orders decides which models engines should hold and sends them orders to that effect.
//
// Only one node at a time does this, the holder of the lease "orders". It collects the engines'
// reports, plans a few steps towards what operators declared, fetches weights within the
// platform's rate limit, and sends orders. An order states the engine's complete desired state,
// so sending it twice or again after a crash is harmless, and a new holder continues from what
// the engines report.
package orders
