// Package shedding decides which prompts are rejected before they are sent to an upstream,
// because upstreams respond too late.
//
// It handles sustained overload: more prompts arrive than engines can prefill, for longer than
// a queue can absorb. If all are queued, all are late, including those that could have been
// served on time, and the queues outlast the overload by their length. If some are rejected
// immediately with a retry delay, the others are served on time.
//
// The only input is the waits that this node observed itself: those of recently started
// responses, and those of requests without any response yet. The speed and size of the
// upstreams needn't be known.
package shedding
