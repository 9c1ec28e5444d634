package drain

import "time"

// Window is the time span of a graceful shutdown. Its times and those passed to its methods are
// readings of one clock.
type Window struct {
	// AddressesExpire is when the addresses that callers were given before the shutdown expire.
	AddressesExpire time.Duration
	// End is when the node ends the requests that are still open.
	End time.Duration
}

// Left returns the time until the node ends open requests.
func (w Window) Left(now time.Duration) time.Duration { return w.End - now }

// Accepts reports whether to accept a request that takes at most limit and usually no longer than
// usual. A limit of zero means that there is none; usual is zero if it isn't known.
//
// A request that certainly ends in time is accepted. One that usually does is accepted only
// while its caller couldn't have known of the shutdown: afterwards a refusal, which lets the
// caller go to another node at once, costs it less than the risk of an answer that is cut.
func (w Window) Accepts(now, limit, usual time.Duration) bool {
	return limit > 0 && limit <= w.Left(now) || now < w.AddressesExpire && usual <= w.Left(now)
}

// AcceptsOnce is like Accepts for a request that may not be repeated. One with a limit is accepted only if it certainly ends in time:
// nobody can find out whether a request that is cut has run, and a refusal costs its caller a try at another node. Without a limit
// none certainly does, and to refuse them all would show each shutdown to all callers; such a request is refused if nothing is
// known of how long it takes.
func (w Window) AcceptsOnce(now, limit, usual time.Duration) bool {
	if limit > 0 {
		return limit <= w.Left(now)
	}
	return usual > 0 && w.Accepts(now, limit, usual)
}
