// Package lending lets a node serve a request from another node's share when its own is used
// up: it asks a peer to reserve the request's tokens, and afterwards reports how many were
// used.
//
// The tokens are reserved and spent in the lender's share, so the allocator doesn't need to
// know of loans, and the budget holds whichever node dies: an unsettled loan counts as used in
// full. Peers can reach each other while the store is unreachable, when shares can't be moved
// in any other way.
package lending
