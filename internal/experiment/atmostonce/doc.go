// Package atmostonce compares ways of running a non-idempotent call: sent once and
// never again, sent again blindly by its caller, named by a key that is claimed in the
// log, and named by a ticket. The runners are those that nodes run, over the stand-in
// log in real time; nodes, callers and the service are models. The seed fixes the
// draws, not the interleaving, so that figures vary a little between runs.
package atmostonce
