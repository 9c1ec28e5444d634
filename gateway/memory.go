package gateway

import (
	"math"
	"slices"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/result"
)

// reasonNoMemory is the reason of refusals while no upstream left has memory for the request.
const reasonNoMemory = "the memory of every upstream left is taken"

// tokens returns the most tokens that the request may hold in an engine's memory.
func (c *call) tokens() int64 {
	if c.r.MaxOutput > math.MaxInt64-c.r.PromptTokens {
		return math.MaxInt64
	}
	return c.r.maxTokens()
}

// kvCapacity returns how many tokens each engine of the service can hold; zero if that isn't known.
func (c *call) kvCapacity() int64 {
	if c.service == nil || c.service.Engine == nil {
		return 0
	}
	return int64(c.service.Engine.KVCapacity)
}

// refuseIfTooLarge refuses a request that fits into no engine.
func (c *call) refuseIfTooLarge() *result.Error {
	if !c.g.Picker.ExceedsMemory(c.query(), c.serviceUpstreams()) {
		return nil
	}
	c.g.Metrics.recordMemory(memoryTooLarge)
	return result.New(result.TokensOutOfRange, "prompt and output of up to %d tokens are more than the %d that an engine holds", c.tokens(), c.kvCapacity())
}

// open opens the request at the chosen upstream; false if other requests took its room or memory meanwhile.
func (c *call) open(choice placement.PickResult) bool {
	u := choice.Upstream
	if c.kvCapacity() > 0 {
		size := c.g.Picker.SizeOf(c.query(), u.Service)
		if !u.HoldTokens(size, choice.MaxHeldTokens) {
			return false
		}
		c.held = size
	}
	if !c.takeRoom(u, choice.BeyondRamps) {
		c.release(u)
		return false
	}
	if c.held > 0 {
		c.g.Picker.Held(u.Service, c.held)
	}
	return true
}

// close closes the request at the upstream that it is open at.
func (c *call) close(u *directory.Upstream) {
	u.Close()
	c.release(u)
}

func (c *call) release(u *directory.Upstream) {
	u.ReleaseTokens(c.held)
	c.held = 0
}

// lacksMemory reports whether a request doesn't fit into the memory of an upstream, one of a list, now.
func (c *call) lacksMemory(r *placement.Request, u *directory.Upstream, upstreams []*directory.Upstream) bool {
	return r.KVCapacity > 0 && !c.g.Picker.MayFit(r, u, upstreams)
}

// onlyMemoryMissing reports whether an upstream that the request hasn't been sent to lacks memory for it and nothing else.
func (c *call) onlyMemoryMissing() bool {
	r, upstreams := c.query(), c.upstreams()
	return slices.ContainsFunc(upstreams, func(u *directory.Upstream) bool {
		return !c.wasSentTo(u) && u.Accepts(r.Now) && u.HasRoom(r.Now) && c.lacksMemory(r, u, upstreams)
	})
}
