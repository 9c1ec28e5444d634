// Package admission decides, before anything is sent, whether a request to a service may go to
// an upstream now, must wait or is refused.
//
// Waiting requests are served by start-time fair queueing on two levels, by token cost and
// weight: between teams, and between the client accounts of a team. Within an account, higher
// priorities go first. Queues are bounded; when the whole queue is full, the newest request of
// the account with the largest backlog for its share is evicted. A request that can't be served
// in time is refused at once with a retry delay computed from the drain rate. Nothing has been
// sent by then, so a refusal always means that the request did not run.
//
// The number of requests that may be at the upstreams at the same time follows the queue
// lengths that the upstreams report: a few requests queued there keep the batches full, more
// would only wait where fairness is not enforced.
//
// Scheduler makes the decisions and takes the time as an argument; Controller adds blocking and
// the clock.
package admission
