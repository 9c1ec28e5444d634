package placement

import (
	"math"

	"lavenderpin.dev/lavenderpin/directory"
)

const (
	// memoryDeviations is by how many standard deviations the requests of other nodes may hold more than is estimated: reports are
	// seconds old, and an engine whose memory is exceeded crashes. With 1.5, the memory is exceeded three times as often.
	memoryDeviations = 2
	// fewestOthers is the number of other nodes' requests below which an estimate counts as none, so that old reports don't keep out
	// a request that needs the whole memory.
	fewestOthers = 0.5
)

// MayFit reports whether an upstream's memory has room for the request now, as far as this node knows. upstreams are those of
// the service.
func (p *Picker) MayFit(r *Request, u *directory.Upstream, upstreams []*directory.Upstream) bool {
	return p.fits(r, u, p.meansOf(r, upstreams))
}

// ExceedsMemory reports whether the request is larger than the memory of each of the upstreams.
func (p *Picker) ExceedsMemory(r *Request, upstreams []*directory.Upstream) bool {
	if r.KVCapacity <= 0 || r.Tokens <= r.KVCapacity {
		return false
	}
	m := p.meansOf(r, upstreams)
	return m.uneven && !m.plain
}

// Held records that this node holds a request's tokens in the memory of an engine of a service.
func (p *Picker) Held(service string, tokens int64) { p.sizes.observe(service, tokens) }

// SizeOf returns the tokens to count for a request of a service: those that it declares, or the mean if it declares none. Absurd
// declarations count as just more than fits, so that sums of them stay in range.
func (p *Picker) SizeOf(r *Request, service string) int64 {
	if r.Tokens > 0 {
		return min(r.Tokens, r.KVCapacity+1)
	}
	return int64(p.sizes.of(service).mean)
}

func (p *Picker) fits(r *Request, u *directory.Upstream, m *serviceMeans) bool {
	most := p.maxHeldTokens(r, u, m)
	return most == math.MaxInt64 || p.SizeOf(r, u.Service) <= most-u.HeldTokens()
}

// maxHeldTokens returns how many tokens this node's open requests may hold at an upstream: its memory, less what other nodes' requests
// hold. Their number is the largest that a report of the service tells of, as reports give way to their mean with age: this node's
// requests go to upstreams that seem to have few, and so do those of others meanwhile. Their size is that of this node's requests.
//
// It answers prompts long enough that fewer than an engine's slots fill its memory, sent by 80 nodes at the same time: an engine crashes
// if the requests that run exceed its memory, and all of them are lost. Requests that wait there hold nothing.
func (p *Picker) maxHeldTokens(r *Request, u *directory.Upstream, m *serviceMeans) int64 {
	if r.KVCapacity <= 0 || !m.uneven {
		return math.MaxInt64
	}
	load := u.Load()
	if !m.applies(&load) {
		return math.MaxInt64
	}
	slots := slotsOf(u, &load)
	if slots <= 0 {
		slots = math.MaxInt32
	}
	others := min(slots, max(m.maxOthers, m.othersAt(&load, r.Now)))
	if others < fewestOthers {
		return r.KVCapacity
	}
	s := p.sizes.of(u.Service)
	if s.count == 0 {
		size := float64(p.SizeOf(r, u.Service))
		s = sizes{mean: size, square: size * size}
	}
	return r.KVCapacity - int64(min(float64(r.KVCapacity), others*s.mean+memoryDeviations*math.Sqrt(others*s.square)))
}
