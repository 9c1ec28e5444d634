package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderpin.dev/lavenderpin/directory"
)

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	settings Settings
	cache    *CacheTracker
	// regions maps each data centre to its region.
	regions map[string]string
	// IsRelayed reports whether the upstream at an address is reached through another node; if it is
	// nil, none is. It must not be changed once the picker is in use.
	IsRelayed func(address string) bool
	// Random returns a number from 0 to 1. It must not be changed once the picker is in use.
	Random func() float64
	means  meansCache
	parts  partTracker
	sizes  sizeTracker
}

// NewPicker returns a picker; regions maps each data centre to its region.
func NewPicker(settings Settings, regions map[string]string) *Picker {
	return &Picker{settings: settings, cache: NewCacheTracker(settings.CacheTTL), regions: regions, Random: rand.Float64}
}

// PickResult is a chosen upstream, with the reasons for the choice for logs.
type PickResult struct {
	Upstream *directory.Upstream
	// Expected is the score: the expected time to the answer, penalties included.
	Expected time.Duration
	// Uncached estimates how many prompt tokens the upstream has to prefill, UncachedShared how many
	// of them other prompts share.
	Uncached, UncachedShared int
	// Affinity reports that the upstream is the prompt's affinity upstream.
	Affinity bool
	// MaxHeldTokens is the most tokens that this node's open requests may hold there, this one included.
	MaxHeldTokens int64
	// BeyondRamps reports that ramps didn't limit the choice.
	BeyondRamps bool
	// Candidates is the number of upstreams that were scored.
	Candidates int
}

// Pick returns the upstream with the lowest score, or false if there is none. Unreachable
// upstreams are only used if there is no other; those that leave, asked for a pause or are brittle and
// full, or whose memory the request doesn't fit into, never.
func (p *Picker) Pick(r *Request, upstreams []*directory.Upstream) (PickResult, bool) {
	best := PickResult{BeyondRamps: r.BeyondRamps}
	m := p.meansOf(r, upstreams)
	for _, lastResort := range []bool{false, true} {
		affinity := p.affinityUpstream(r, upstreams, m)
		for _, u := range upstreams {
			if r.wasTried(u) || !u.Accepts(r.Now) || !u.HasRoomFor(r.BeyondRamps, r.Now) || r.inBackoff(u) != lastResort || !p.fits(r, u, m) {
				continue
			}
			best.Candidates++
			uncachedShared := p.uncachedShared(r, u, u == affinity)
			if score := p.score(r, u, uncachedShared, m); best.Upstream == nil || score < best.Expected {
				best.Upstream, best.Expected = u, score
				best.Uncached = r.PromptTokens - sharedTokens(r.shared()) + uncachedShared
				best.UncachedShared, best.Affinity = uncachedShared, u == affinity
			}
		}
		if best.Upstream != nil {
			best.MaxHeldTokens = p.maxHeldTokens(r, best.Upstream, m)
			return best, true
		}
	}
	return best, false
}

// Observe records that an upstream has prefilled a request's prompt.
func (p *Picker) Observe(r *Request, u *directory.Upstream) {
	shared := r.shared()
	p.cache.Observe(u.ID, u.StartedAt, shared, r.Now)
	if len(shared) > 0 && u.ReportsSlowdown() {
		p.parts.observe(shared[len(shared)-1].ID, r.Now)
	}
}

// affinityUpstream returns the engine to which all nodes send a shared prompt, so that it is
// cached on one engine without coordination. It is chosen by rendezvous hashing: when an engine
// joins, leaves, pauses or takes no more requests, only its own prompts move. A long shared prompt has one affinity
// upstream in the fleet, a short one has one in each data centre.
func (p *Picker) affinityUpstream(r *Request, upstreams []*directory.Upstream, m *serviceMeans) *directory.Upstream {
	shared := r.shared()
	if len(shared) == 0 {
		return nil
	}
	fleetWide := sharedTokens(shared) >= p.settings.FleetAffinityTokens
	key := shared[len(shared)-1].ID
	spills := m.uneven && p.parts.count(key, r.Now) > minSpillCount+spillPart*m.affine
	var first, chosen *directory.Upstream
	var firstRank, topRank uint64
	for _, u := range upstreams {
		rank := xxhash.Sum64String(key + "\x00" + u.ID)
		if chosen != nil && rank <= topRank { // what follows costs more than the rank
			continue
		}
		if !fleetWide && u.DataCentre != r.DataCentre || !u.Accepts(r.Now) || !u.HasRoomFor(r.BeyondRamps, r.Now) || r.inBackoff(u) || u.StaleUntil != 0 || !p.fits(r, u, m) {
			continue
		}
		if first == nil || rank > firstRank {
			first, firstRank = u, rank
		}
		if !(spills && m.affineFull(u, r.Now, p.Random())) {
			chosen, topRank = u, rank
		}
	}
	if chosen == nil {
		return first
	}
	return chosen
}

func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// warmupDivisor converts the remaining warm-up of an upstream into the expected delay of a
// request: an upstream that is warming up runs at a half to two thirds of its speed, so a
// request of some hundred milliseconds loses a small part of the remaining seconds.
const warmupDivisor = 8

// warmupDelay returns the expected delay from a warm-up. A ramp already limits what the upstream gets: a penalty beside
// it, the same for all nodes, would leave the upstream idle.
func warmupDelay(r *Request, u *directory.Upstream) time.Duration {
	switch {
	case u.Throttle.Ramping():
		return 0
	case u.Throttle.RampEnabled():
		return u.WarmupLeft(r.Now) / warmupDivisor
	default:
		return u.Warmup / warmupDivisor
	}
}

func (p *Picker) score(r *Request, u *directory.Upstream, uncachedShared int, m *serviceMeans) time.Duration {
	s := &p.settings
	score := time.Duration(u.FailureScore(r.Now) * float64(s.FailurePenalty))
	switch {
	case u.DataCentre == r.DataCentre:
	case p.regions[u.DataCentre] == r.Region:
		score += s.OtherDataCentre
	default:
		score += s.OtherRegion
	}
	if p.IsRelayed != nil && p.IsRelayed(u.Address) {
		score += s.Relay
	}
	if u.StaleUntil != 0 {
		score += s.SuspectPenalty
	}
	score += warmupDelay(r, u)
	load := currentLoad(r, u)
	work := p.promptDelay(r, u, uncachedShared)
	if m.applies(&load) {
		work = p.unevenDelay(r, u, &load, m, work)
	} else {
		work += p.loadDelay(u, &load)
	}
	// An upstream is expected to stay silent for as long again as it has been. This diverts
	// requests from a hung upstream long before the first one waiting there is given up.
	score += u.Silence(r.Now)
	return score + work
}

// rampLoadTTL is how long a load report counts during a ramp.
const rampLoadTTL = 2 * time.Second

// currentLoad returns the load that counts. While a ramp limits what is sent, a report that is old is ignored: a node's
// turns are seconds apart in a large fleet, and after one report of a queue it would use none of them.
func currentLoad(r *Request, u *directory.Upstream) directory.Load {
	load := u.Load()
	if r.Now-load.At > rampLoadTTL && u.Throttle.Ramping() {
		load.Running, load.Waiting = 0, 0
	}
	return load
}

// loadDelay returns the delay from the upstream's current load. The load it reports covers all
// nodes but is as old as its last answer; this node's in-flight count is exact, so the larger
// of the two is used.
func (p *Picker) loadDelay(u *directory.Upstream, load *directory.Load) time.Duration {
	own := int(u.InFlight.Load())
	running := max(load.Running, min(own, u.Slots))
	waiting := max(load.Waiting, own-u.Slots)
	return time.Duration(running)*p.settings.PerRunningRequest + time.Duration(waiting)*p.settings.PerWaitingRequest
}

// uncachedShared estimates how many shared prompt tokens the upstream doesn't have cached.
func (p *Picker) uncachedShared(r *Request, u *directory.Upstream, affinity bool) int {
	if affinity || r.PromptTokens == 0 {
		return 0
	}
	return sharedTokens(r.shared()) - p.cache.Cached(u.ID, u.StartedAt, r.shared(), r.Now)
}

// promptDelay returns the time to prefill the prompts ahead and the uncached part of this one.
func (p *Picker) promptDelay(r *Request, u *directory.Upstream, uncachedShared int) time.Duration {
	if r.PromptTokens == 0 {
		return 0
	}
	own := r.PromptTokens - sharedTokens(r.shared())
	ahead := p.settings.PendingPromptFactor * float64(u.PromptInFlight.Load())
	return time.Duration(float64(p.settings.PerPromptToken)*(ahead+float64(own))) + time.Duration(uncachedShared)*p.settings.PerUncachedSharedToken
}
