// Package budgets compares strategies for holding prepaid budgets on one seeded load,
// in simulated time: the fleet's two policies, a static equal split, and one central
// counter at the store.
//
// The ledger, share holders and share sizing are the production code; messages are
// modelled by their latency and size only. A crash freezes shares for the policy's
// term; recovery itself is covered by the tests of package node.
package budgets
