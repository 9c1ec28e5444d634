// Package admission decides, before anything is sent, whether a request of a service
// may go to an upstream now, must wait or is refused.
//
// Waiting requests are served by start-time fair queueing on two levels: between
// teams, and between the client accounts of a team, by tokens and weights. Within an
// account higher priorities go first. Queues are bounded; when the whole queue is
// full, the newest request of whoever has most waiting for its weight makes room. A
// request that can't be served in time is refused at once with the time after which
// it could be, from the rate at which work drains: a refusal here is always true, as
// nothing has been sent.
//
// How many requests may be at the upstreams together follows what the upstreams say
// of their own queues: a few requests waiting there keep the batches full, more would
// only make them wait where fairness no longer holds.
//
// Core holds the decisions and takes time as an argument; Controller lets callers
// wait on it.
package admission
