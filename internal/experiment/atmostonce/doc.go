// Package atmostonce compares strategies for non-idempotent calls: sent only once, retried
// blindly by the caller, identified by an idempotency key that is claimed in the log, and
// identified by a ticket. The runners are the production code, on an in-memory log in real
// time; nodes, callers and the service are simulated. The seed fixes the random choices,
// but not the interleaving, so that results vary slightly between runs.
package atmostonce
