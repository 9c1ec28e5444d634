// Package idempotency executes a non-idempotent call at most once, however often and
// at however many nodes its caller sends it.
//
// A caller identifies its call by a key of its own or by a ticket. A key is claimed in
// the log before the call is sent, and the first claim wins on every node. A ticket is
// bound to the incarnation that issued it. Only that incarnation may run the call, so it
// needs neither a message nor the log. In both cases one incarnation runs the call
// and keeps the response in memory, and every other node forwards to it. Once that
// incarnation is gone the call is never run again: the result is AlreadyRan if the log
// has the outcome and OutcomeUnknown otherwise.
package idempotency
