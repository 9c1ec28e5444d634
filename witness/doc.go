// Package witness keeps what a node was doing in the memory of another one.
//
// Teller tells one other node of each request before it is dispatched and of its
// end afterwards; Memory is what a node was told by others. After a node died its
// requests are settled from there. Neither grows without bound: an entry goes once
// its settlement is in the log, which both sides fold.
package witness
