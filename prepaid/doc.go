// Package prepaid keeps the use of each client account within its prepaid total, even if nodes
// lose the store for a long time or crash at any moment.
//
// An Allocator, active on one node at a time, splits what is left of each account among the
// nodes. A node's ceiling is the total that its current incarnation may ever use. Ceilings
// never expire, so a node that is partitioned from the store keeps serving from its own
// allocation, and no clock decides whether it may. Share is the node's side: it reserves the
// most that a request can use before the request is sent, and settles the actual use
// afterwards.
//
// The use of a crashed incarnation is unknown, so everything that it could have used counts as
// used. To keep that small, each report carries limits ahead of use. They grow with the time
// since the report, along the callers' demand, and after some seconds only the ceilings apply.
// A partitioned node keeps serving along these limits. The next incarnation on the instance
// derives from its own start time how long the earlier one can have lived, and so what it can
// have used; the rest returns to the account. After a kill the boot clock proves this; after a
// power loss the wall clock does, less what it may have been set back.
//
// Invariant, for each account: the sum over live incarnations of what they may use, plus what
// ended incarnations may have used, is at most the prepaid total.
package prepaid
