package placement

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

const (
	// maxAffineExcess is how many times the mean, relative to speed, of the requests that this node placed for shared parts of
	// prompts one upstream may have. Nodes decide alike, so that the bound holds for their sum. It leaves room for other requests
	// below 1.3 times the mean of all.
	maxAffineExcess = 1.15
	// A prompt's shared part spills to further upstreams from minSpillCount recent requests of this node and spillPart of the mean of such
	// requests at one upstream: moving a rare one costs its prefill and balances nothing.
	minSpillCount, spillPart = 1, 0.5
	// chanceLoad is added to the numbers of requests that are compared, since few vary by chance the most: with a mean of 3, two
	// more are no excess.
	chanceLoad = 3
	// chancePlaced is the same for requests that this node placed itself, which vary by the last one only.
	chancePlaced = 1
)

// unevenDelay returns the delay from the load and the prompt at an upstream that reports slow-downs; prompt is that of the
// prompt at normal speed.
//
// It answers load of 60 upstreams with relative speeds of 0.7, 0.7 and 1.7, on each of which a neighbour makes work take 2.5 times as
// long for 15% of the time, and that 80 nodes see by reports a second old. The work ahead takes as long as the upstream is slow.
// That alone would send too much to the fast ones. So an upstream pays for what it has above the mean: for requests there
// now, which stay the longer the slower it is, and for those that this node placed, relative to speed. This excess costs more than
// nearness saves.
func (p *Picker) unevenDelay(r *Request, u *directory.Upstream, load *directory.Load, m *serviceMeans, prompt time.Duration) time.Duration {
	s := &p.settings
	total := m.othersAt(load, r.Now) + float64(u.InFlight.Load())
	slots := slotsOf(u, load)
	running := min(total, slots)
	delay := float64(prompt) + running*float64(s.PerRunningRequest) + (total-running)*float64(s.PerWaitingRequest)
	delay *= load.SlowdownNow(r.Now) / m.speedOf(u)
	delay += m.excess(u, total, r.Now) * float64(s.PerExcess)
	return time.Duration(delay + p.Random()*float64(s.Spread))
}

// slotsOf returns how many requests the upstream runs at once, by its last report or else by its entry; zero if neither tells.
func slotsOf(u *directory.Upstream, load *directory.Load) float64 {
	if load.Slots > 0 {
		return float64(load.Slots)
	}
	return float64(u.Slots)
}

// excess returns the part of the mean by which an upstream with a number of requests has more than the others, or by which this
// node placed more there than at the others of its data centre, whichever is larger.
func (m *serviceMeans) excess(u *directory.Upstream, total float64, now time.Duration) float64 {
	all, _ := u.Placed(now)
	byLoad := (total + chanceLoad) / (m.load + chanceLoad)
	byPlaced := (all/m.speedOf(u) + chancePlaced) / (m.placed[u.DataCentre] + chancePlaced)
	return max(0, byLoad-1, byPlaced-1)
}

// affineFull reports whether an upstream has as many of this node's requests for shared parts of prompts as its speed allows; random is
// a number from 0 to 1. Their prompts then go to the next upstream by rank, which is the same for all nodes.
//
// It answers a few prompts whose shared part makes up much of the load: without it, the upstream of the first of them gets four
// times the mean. Rounding at random lets many nodes, each of which places less than one such request a minute, keep the bound together.
func (m *serviceMeans) affineFull(u *directory.Upstream, now time.Duration, random float64) bool {
	if !m.uneven {
		return false
	}
	if load := u.Load(); !m.applies(&load) {
		return false
	}
	_, affine := u.Placed(now)
	return affine+random > maxAffineExcess*m.affine*m.speedOf(u)
}
