// Package idempotency makes a call that must not run twice run at most once,
// however often and at however many nodes its caller sends it.
//
// A caller names its call by a key of its own or by a ticket. A key is claimed in
// the log before the call is sent: the first claim wins, at every node alike. A
// ticket is bound to the incarnation that issued it, which alone may run it and
// needs neither message nor log for that. Either way one incarnation runs the call
// and keeps its answer in memory; every other node asks that one. Once it is gone
// the call is never run again, and the answer is AlreadyRan when the log knows the
// outcome and OutcomeUnknown when it doesn't.
package idempotency
