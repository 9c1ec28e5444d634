// Package lending lets a node serve a request out of another node's share when its own
// is used up: it asks a peer to reserve the request's tokens, and tells it afterwards
// how many were used.
//
// The tokens are reserved and spent in the lender's share, so the allocator needs to
// know nothing of it, and the budget holds whichever node dies: a loan that nobody
// settles counts as used in full. Peers reach each other while the store is out of
// reach, which is when shares can't be moved any other way.
package lending
