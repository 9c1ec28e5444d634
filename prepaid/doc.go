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
// used. To keep that small, each report is a promise: limits ahead of use that grow with
// the time since the report, along the callers' demand, and give way to the ceilings after
// some seconds. A node that is cut off serves on along them. The next incarnation on the
// instance tells by its own start how long the earlier one can have lived, and so what it
// can have used; the rest goes back to the account. The boot clock proves that after a
// kill, the time of day, less what it may have been set back, after a power loss.
//
// Invariant, for each account: the sum over live incarnations of what they may use, plus
// what ended incarnations may have used, is at most what the account prepaid.
package prepaid
