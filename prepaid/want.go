package prepaid

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// want is a live node's need of one account, in tokens.
type want struct {
	node, region string
	// large tells that callers are sent to the node before others, busy that it has many.
	large, busy bool
	// used is settled and open use, which can't be taken away.
	used int64
	// need is what it should hold beyond that.
	need int64
	// rate is its demand in tokens a second.
	rate float64
	// share is what it gets beyond its use.
	share int64
}

// wants collects the needs of live members and the sum of what they use.
func (a *Allocator) wants(acc *account, name string, members []Member) ([]want, int64) {
	var wants []want
	base, most := int64(0), 0
	for _, m := range members {
		if m.Live {
			most = max(most, m.Report.Capacity)
		}
	}
	for _, m := range members {
		if !m.Live {
			continue
		}
		w := want{node: m.Report.Node, region: m.Report.Region, need: a.settings.MinCeiling, large: 2*m.Report.Capacity >= most}
		if l := findLine(&m.Report, name); l != nil {
			w.used = l.Spent + l.Reserved
			w.rate = float64(l.DemandRate)
		}
		if e, ok := acc.entries[w.node]; ok {
			w.used = min(w.used, e.committed)
		}
		base += w.used
		wants = append(wants, w)
	}
	return wants, base
}

// chooseHolders takes the needs of all but the account's holders away: nodes with many
// callers before large ones, these before others, and among equals by rendezvous hashing, so that few parts move when nodes
// come and go. Where nodes without callers held the parts, nearly each request was served
// out of a loan over their slow links, and in a cut of the store two in five were refused.
func (a *Allocator) chooseHolders(name string, wants []want) {
	byRegion := make(map[string][]*want)
	for i := range wants {
		byRegion[wants[i].region] = append(byRegion[wants[i].region], &wants[i])
	}
	for _, region := range byRegion {
		noteBusy(region)
		slices.SortFunc(region, func(x, y *want) int { return before(name, x, y) })
		holders := region[:min(len(region), a.settings.HoldersPerRegion)]
		a.needs(holders, region)
		for _, w := range region[len(holders):] {
			w.need = 0
		}
	}
}

// concentrate leaves an account that is nearly used up to so few holders that each part
// still covers a long prompt. Split among six nodes, the last 50,000 tokens served no
// prompt of 12,000, and all its callers were refused.
func (a *Allocator) concentrate(name string, wants []want, held int64) {
	var holders []*want
	for i := range wants {
		if wants[i].need > 0 {
			holders = append(holders, &wants[i])
		}
	}
	most := max(1, int(held/a.settings.MinCeiling))
	if len(holders) <= most {
		return
	}
	slices.SortFunc(holders, func(x, y *want) int { return before(name, x, y) })
	for _, w := range holders[most:] {
		w.need = 0
	}
}

// busyPart divides a region's demand into what makes a small node busy: a caller that
// sticks to one was seen to send a sixth of its region's requests.
const busyPart = 12

// noteBusy marks nodes with much of their region's demand as busy.
func noteBusy(region []*want) {
	total := demand(region)
	for _, w := range region {
		w.busy = w.rate > total/busyPart
	}
}

// demand is what nodes want together, in tokens a second.
func demand(nodes []*want) float64 {
	total := 0.0
	for _, w := range nodes {
		total += w.rate
	}
	return total
}

// before orders nodes as an account's holders.
func before(account string, x, y *want) int {
	return cmp.Or(first(x.busy, y.busy), first(x.large, y.large), cmp.Compare(rank(account, y), rank(account, x)))
}

// first compares by a property that comes first.
func first(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// rank orders nodes as an account's holders, by rendezvous hashing.
func rank(account string, w *want) uint64 { return xxhash.Sum64String(account + "\x00" + w.node) }

// needs sets what holders need: their own demand, or an even part of their region's.
// They lend to each other and to all others, and which of them is asked is chance.
func (a *Allocator) needs(holders []*want, region []*want) {
	even := demand(region) / float64(len(holders))
	for _, w := range holders {
		w.need = max(w.need, int64(max(w.rate, even)*a.settings.DemandHorizon.Seconds()))
	}
}

// held is how much of what is available nodes may hold together.
func (a *Allocator) held(available, prepaid int64) int64 {
	if available <= 0 || prepaid <= 0 {
		return 0
	}
	left := float64(available) / float64(prepaid)
	held := int64((a.settings.MinDistributedFraction + a.settings.DistributedSlope*left) * float64(available))
	// What is kept back of an account that is nearly used up would never serve anybody:
	// each part would stay below one prompt.
	return max(held, min(available, a.settings.MinCeiling))
}

// plenty raises the holders' needs evenly to a part of what nodes may hold.
func (a *Allocator) plenty(wants []want, held int64) {
	holders := int64(0)
	for _, w := range wants {
		if w.need > 0 {
			holders++
		}
	}
	for i := range wants {
		if w := &wants[i]; w.need > 0 {
			w.need = max(w.need, int64(a.settings.MinNeededFraction*float64(held))/holders)
		}
	}
}

// spread gives each node what it needs, or the same part of it where the needs are more
// than may be held. A node without demand needs something too: if it loses the store
// then, what it was given is all it has.
func spread(wants []want, held int64) {
	need := int64(0)
	for _, w := range wants {
		need += w.need
	}
	for i := range wants {
		w := &wants[i]
		w.share = w.need
		if need > held {
			w.share = int64(float64(held) * float64(w.need) / float64(need))
		}
	}
}
