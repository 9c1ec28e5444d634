// Package prepaid keeps each client account's use within what it prepaid, while every
// node may lose the store for a long time, and any node may die at any moment.
//
// An Allocator, one node at a time, splits what is left of each account among the
// nodes: a node's ceiling is the total that its present incarnation may ever use. A
// ceiling never expires, so a node that is cut off goes on serving out of its own part,
// and no clock decides whether it may. Share is a node's own side: it reserves the most
// that a request can use before the request is sent, and settles what it did use.
//
// What a dead incarnation used isn't known, so all that it could have used counts as
// used. To keep that small, a node uses only up to its drawn limit, which it reports
// ahead of use and raises as it goes. The rest of its ceiling is a reserve that it opens
// only after some seconds without an acknowledged report, at a time that its last report
// named by the instance's boot clock. If the next incarnation on that instance started
// before that time, the reserve was never opened, and it goes back to the account.
//
// Invariant, for each account: the sum over live incarnations of what they may use, plus
// what ended incarnations may have used, is at most what the account prepaid.
package prepaid
