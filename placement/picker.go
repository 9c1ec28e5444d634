package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderpin.dev/lavenderpin/directory"
)

// Picker chooses upstreams. It is safe for concurrent use.
type Picker struct {
	settings Settings
	memory   *CacheTracker
	// regions maps each data centre to its region.
	regions map[string]string
}

// NewPicker returns a picker; regions maps each data centre to its region.
func NewPicker(settings Settings, regions map[string]string) *Picker {
	return &Picker{settings: settings, memory: NewCacheTracker(settings.CacheTTL), regions: regions}
}

// PickResult is a chosen upstream with what decided it, for logs.
type PickResult struct {
	Upstream *directory.Upstream
	// Expected is the score: the expected time to the answer.
	Expected time.Duration
	// Uncached is how many of the prompt's tokens the upstream probably has to read.
	Uncached int
	// Candidates is how many upstreams were weighed.
	Candidates int
}

// Pick returns the upstream with the lowest score, or false if there is none. Upstreams
// that don't answer at all are passed over while another is left.
func (p *Picker) Pick(q *Request, upstreams []*directory.Upstream) (PickResult, bool) {
	best := PickResult{}
	for _, lastResort := range []bool{false, true} {
		home := p.home(q, upstreams)
		for _, u := range upstreams {
			if q.tried(u) || u.InBackoff(q.Now) != lastResort {
				continue
			}
			best.Candidates++
			missing := p.missing(q, u, u == home)
			if score := p.score(q, u, missing); best.Upstream == nil || score < best.Expected {
				best.Upstream, best.Expected = u, score
				best.Uncached = q.PromptTokens - sharedTokens(q.shared()) + missing
			}
		}
		if best.Upstream != nil {
			return best, true
		}
	}
	return best, false
}

// Observe notes that an upstream read a request's prompt.
func (p *Picker) Observe(q *Request, u *directory.Upstream) {
	p.memory.Observe(u.ID, u.StartedAt, q.shared(), q.Now)
}

// home is the engine that all nodes send a shared prompt to, so that they find it in one
// engine's memory without telling each other. It is chosen by rendezvous hashing: when an
// engine comes or goes, only its own prompts move. A long shared prompt has one home in
// the fleet, a short one a home in each data centre.
func (p *Picker) home(q *Request, upstreams []*directory.Upstream) *directory.Upstream {
	shared := q.shared()
	if len(shared) == 0 {
		return nil
	}
	anywhere := sharedTokens(shared) >= p.settings.FleetAffinityTokens
	key := shared[len(shared)-1].ID
	var home *directory.Upstream
	var top uint64
	for _, u := range upstreams {
		if !anywhere && u.DataCentre != q.DataCentre || u.InBackoff(q.Now) || u.StaleUntil != 0 {
			continue
		}
		if rank := xxhash.Sum64String(key + "\x00" + u.ID); home == nil || rank > top {
			home, top = u, rank
		}
	}
	return home
}

func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// warmupPart divides what is left of an upstream's warm-up into the wait that a request
// there must expect: one that is warming up works at a half or two thirds of its speed, so
// a request of some hundred milliseconds loses a small part of the seconds left.
const warmupPart = 8

func (p *Picker) score(q *Request, u *directory.Upstream, missing int) time.Duration {
	s := &p.settings
	score := time.Duration(u.FailureScore(q.Now) * float64(s.FailurePenalty))
	switch {
	case u.DataCentre == q.DataCentre:
	case p.regions[u.DataCentre] == q.Region:
		score += s.OtherDataCentre
	default:
		score += s.OtherRegion
	}
	if u.StaleUntil != 0 {
		score += s.SuspectPenalty
	}
	score += u.Warmup / warmupPart
	score += p.loadTime(u)
	// What has been silent for some time will be so for as long again, for all that is known:
	// a request leaves a dark upstream long before the first of those that wait there is
	// given up.
	score += u.Silence(q.Now)
	return score + p.promptTime(q, u, missing)
}

// loadTime is the wait that the upstream's present work adds. Its own figures cover all
// nodes but are as old as the last answer; this node's open requests are exact, so the
// larger of the two counts.
func (p *Picker) loadTime(u *directory.Upstream) time.Duration {
	load := u.Load()
	own := int(u.InFlight.Load())
	running := max(load.Running, min(own, u.Slots))
	waiting := max(load.Waiting, own-u.Slots)
	return time.Duration(running)*p.settings.PerRunningRequest + time.Duration(waiting)*p.settings.PerWaitingRequest
}

// missing returns how many shared prompt tokens the upstream probably lacks.
func (p *Picker) missing(q *Request, u *directory.Upstream, home bool) int {
	if home || q.PromptTokens == 0 {
		return 0
	}
	return sharedTokens(q.shared()) - p.memory.Cached(u.ID, u.StartedAt, q.shared(), q.Now)
}

// promptTime is the time to read the prompts ahead and what the engine lacks of this one.
func (p *Picker) promptTime(q *Request, u *directory.Upstream, missing int) time.Duration {
	if q.PromptTokens == 0 {
		return 0
	}
	own := q.PromptTokens - sharedTokens(q.shared())
	ahead := p.settings.PendingPromptFactor * float64(u.PromptInFlight.Load())
	return time.Duration(float64(p.settings.PerPromptToken)*(ahead+float64(own))) + time.Duration(missing)*p.settings.PerUncachedSharedToken
}
