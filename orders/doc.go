// Package orders decides what model engines should hold and tells them.
//
// One node at a time does this, the holder of the lease "orders". It reads what the
// engines report, plans a few steps towards what operators declared, fetches
// weights under the platform's rate limit, and sends orders. An order states the
// engine's whole desired set, so sending it twice or again after a crash is
// harmless, and a new holder goes on from what the engines report.
package orders
