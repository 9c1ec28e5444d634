// Package budgets compares ways of holding prepaid budgets on one seeded load, in
// model time: the fleet's two policies, a static equal split, and one central
// counter at the store.
//
// Ledger, holders and share sizing are the fleet's own code; messages are modelled
// by their latency and size only. Crashes freeze shares for the policy's term;
// recovery itself is proved by the tests of package node.
package budgets
