package prepaid

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// need is a live node's need of one account, in tokens.
type need struct {
	node, region string
	// listed marks a node that callers are sent to, large one of the larger instances, busy one
	// with much of its region's demand.
	listed, large, busy bool
	// used is settled and reserved use, which can't be reclaimed.
	used int64
	// tokens is what the node should hold beyond its use.
	tokens int64
	// rate is its demand in tokens per second.
	rate float64
	// share is what it gets beyond its use.
	share int64
}

// needs returns the needs of live members and the sum of their use.
func (a *Allocator) needs(acc *account, name string, members []Member) ([]need, int64) {
	var needs []need
	total, maxCapacity := int64(0), 0
	for _, m := range members {
		if m.Live {
			maxCapacity = max(maxCapacity, m.Report.Capacity)
		}
	}
	for _, m := range members {
		if !m.Live {
			continue
		}
		n := need{node: m.Report.Node, region: m.Report.Region, tokens: a.settings.MinCeiling, listed: m.Report.Listed, large: 2*m.Report.Capacity >= maxCapacity}
		if l := findLine(&m.Report, name); l != nil {
			n.used = l.Spent + l.Reserved
			n.rate = float64(l.DemandRate)
		}
		if e, ok := acc.entries[n.node]; ok {
			n.used = min(n.used, e.committed)
		}
		total += n.used
		needs = append(needs, n)
	}
	return needs, total
}

// chooseHolders clears the needs of all nodes but the account's holders. Only nodes with demand
// and those that callers are sent to may be holders: the others don't follow the grants, and what
// they held would be out of reach. Nodes with much demand come first, then large ones; ties are broken by rendezvous hashing, so that few allocations
// move when nodes come and go. When nodes without callers were holders, nearly every request
// was served from a loan over their slow links, and while the store was unreachable two in five
// were refused.
func (a *Allocator) chooseHolders(name string, needs []need) {
	byRegion := make(map[string][]*need)
	for i := range needs {
		byRegion[needs[i].region] = append(byRegion[needs[i].region], &needs[i])
	}
	for _, region := range byRegion {
		a.markBusy(region)
		slices.SortFunc(region, func(x, y *need) int { return compareHolders(name, x, y) })
		holders := region[:min(countEligible(region), max(countBusy(region), a.settings.HoldersPerRegion))]
		a.setNeeds(holders, region)
		for _, n := range region[len(holders):] {
			n.tokens = 0
		}
	}
}

// eligible reports whether a node may hold tokens of the account.
func (n *need) eligible() bool { return n.listed || n.rate > 0 }

// countBusy returns how many nodes are busy.
func countBusy(region []*need) int {
	count := 0
	for _, n := range region {
		if n.busy {
			count++
		}
	}
	return count
}

// countEligible returns how many nodes may be holders; compareHolders orders them first.
func countEligible(region []*need) int {
	count := 0
	for _, n := range region {
		if n.eligible() {
			count++
		}
	}
	return count
}

// limitHolders restricts a nearly exhausted account to so few holders, those with the most demand,
// that each allocation still covers a long prompt. Split among six nodes, the last 50,000 tokens served no prompt of
// 12,000, and all its callers were refused.
func (a *Allocator) limitHolders(name string, needs []need, distributable int64) {
	var holders []*need
	for i := range needs {
		if needs[i].tokens > 0 {
			holders = append(holders, &needs[i])
		}
	}
	maxHolders := max(1, int(distributable/a.settings.MinCeiling))
	if len(holders) <= maxHolders {
		return
	}
	slices.SortFunc(holders, func(x, y *need) int {
		return cmp.Or(cmp.Compare(y.rate, x.rate), compareHolders(name, x, y))
	})
	for _, n := range holders[maxHolders:] {
		n.tokens = 0
	}
}

// busyDivisor: a node is busy with more than 1/24 of its region's demand, so that up to 23 nodes
// that share a region's callers hold allocations.
const busyDivisor = 24

// markBusy marks nodes with much of their region's demand as busy, unless it is less than the
// smallest allocation would cover: a single prompt is much of a quiet account's demand, and nodes
// that borrow for it need no allocation.
func (a *Allocator) markBusy(region []*need) {
	total := totalRate(region)
	minRate := float64(a.settings.MinCeiling) / a.settings.DemandHorizon.Seconds()
	for _, n := range region {
		n.busy = n.rate > total/busyDivisor && n.rate >= minRate
	}
}

// totalRate returns the total demand of nodes in tokens per second.
func totalRate(nodes []*need) float64 {
	total := 0.0
	for _, n := range nodes {
		total += n.rate
	}
	return total
}

// compareHolders orders nodes by preference as an account's holders.
func compareHolders(account string, x, y *need) int {
	return cmp.Or(compareFlags(x.eligible(), y.eligible()), compareFlags(x.busy, y.busy), compareFlags(x.large, y.large), cmp.Compare(rendezvousHash(account, y), rendezvousHash(account, x)))
}

// compareFlags orders true before false.
func compareFlags(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// rendezvousHash is a node's rank among an account's holders.
func rendezvousHash(account string, n *need) uint64 {
	return xxhash.Sum64String(account + "\x00" + n.node)
}

// setNeeds sets each holder's need from its own demand and an even part of the demand of the
// region's other nodes, which borrow from the holders.
func (a *Allocator) setNeeds(holders []*need, region []*need) {
	borrowed := (totalRate(region) - totalRate(holders)) / float64(len(holders))
	for _, n := range holders {
		n.tokens = max(n.tokens, int64((n.rate+borrowed)*a.settings.DemandHorizon.Seconds()))
	}
}

// distributable returns how many of the available tokens nodes may hold together.
func (a *Allocator) distributable(available, prepaid int64, needs []need) int64 {
	if available <= 0 || prepaid <= 0 {
		return 0
	}
	remainingFraction := float64(available) / float64(prepaid)
	distributable := int64((a.settings.MinDistributedFraction + a.settings.DistributedSlope*remainingFraction) * float64(available))
	// Tokens withheld from an account that is used up within seconds only reach their callers
	// later, and none of them while the store is away.
	demand := 0.0
	for _, n := range needs {
		demand += n.rate
	}
	soonUsed := int64(demand * a.settings.DemandHorizon.Seconds())
	return max(distributable, min(available, max(soonUsed, a.settings.MinCeiling)))
}

// raiseNeeds raises the holders' needs to MinNeededFraction of what nodes may hold together. It
// splits what is missing by demand: a node that is cut off from the store soon has only what it
// holds. Before any demand was seen, it splits evenly.
func (a *Allocator) raiseNeeds(needs []need, distributable int64) {
	holders, needed, rate := 0, int64(0), 0.0
	for _, n := range needs {
		if n.tokens > 0 {
			holders++
			needed += n.tokens
			rate += n.rate
		}
	}
	missing := a.settings.MinNeededFraction*float64(distributable) - float64(needed)
	if holders == 0 || missing <= 0 {
		return
	}
	for i := range needs {
		n := &needs[i]
		switch {
		case n.tokens == 0:
		case rate > 0:
			n.tokens += int64(missing * n.rate / rate)
		default:
			n.tokens += int64(missing) / int64(holders)
		}
	}
}

// distribute gives each node what it needs, scaled down proportionally if the total exceeds
// what may be held. A node without demand also needs an allocation: if it loses the store then,
// that is all it has.
func distribute(needs []need, distributable int64) {
	total := int64(0)
	for _, n := range needs {
		total += n.tokens
	}
	for i := range needs {
		n := &needs[i]
		n.share = n.tokens
		if total > distributable {
			n.share = int64(float64(distributable) * float64(n.tokens) / float64(total))
		}
	}
}
