package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

const (
	// loadFactor and loadSlack bound what a node of a region may carry above the
	// region's mean before an account's callers are sent past it.
	loadFactor = 1.25
	loadSlack  = 4
)

// Address is one node that callers may use.
type Address struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// AddressQuery is who asks for addresses, and the node that answers.
type AddressQuery struct {
	// Account is the caller's client account; empty when it isn't known.
	Account string
	// Self is the answering node, and SelfServes tells whether it takes callers.
	Self         *recordv1.NodeInfo
	SelfServing  bool
	SelfInFlight uint32
}

// Addresses returns the nodes that callers should use, the best first.
func (m *Members) Addresses(asker AddressQuery) []Address {
	asker.Self = m.self
	return Rank(asker, m.All())
}

// Rank orders the usable nodes for a caller: those of the answering node's region
// first. Within a region a known account's callers get the same order everywhere
// (rendezvous hashing), so that its budget is split over few nodes; nodes far above
// the region's mean load come after the others. Without an account those of the
// answering node's data centre come first, then the least loaded.
//
// A draining, silent or unsettled node is never handed out, as a caller would keep
// its address and be refused.
func Rank(asker AddressQuery, members []Member) []Address {
	var usable []Member
	if asker.SelfServing {
		usable = append(usable, Member{Node: asker.Self, InFlight: asker.SelfInFlight})
	}
	for _, member := range members {
		if member.Usable() {
			usable = append(usable, member)
		}
	}
	limits := limitsOf(usable)
	sort.SliceStable(usable, func(i, j int) bool { return asker.before(usable[i], usable[j], limits) })
	addresses := make([]Address, 0, len(usable))
	for _, c := range usable {
		addresses = append(addresses, Address{c.Node.GetHttpAddress(), c.Node.GetRegion(), c.Node.GetDataCentre()})
	}
	return addresses
}

// limitsOf returns for each region the load above which a node is passed over.
func limitsOf(members []Member) map[string]float64 {
	total, count := map[string]float64{}, map[string]float64{}
	for _, m := range members {
		total[m.Node.GetRegion()] += float64(m.InFlight)
		count[m.Node.GetRegion()]++
	}
	for region := range total {
		total[region] = total[region]/count[region]*loadFactor + loadSlack
	}
	return total
}

func (a AddressQuery) before(x, y Member, limits map[string]float64) bool {
	if nearX, nearY := x.Node.GetRegion() == a.Self.GetRegion(), y.Node.GetRegion() == a.Self.GetRegion(); nearX != nearY {
		return nearX
	}
	if x.Node.GetRegion() != y.Node.GetRegion() {
		return x.Node.GetRegion() < y.Node.GetRegion()
	}
	fullX := float64(x.InFlight) > limits[x.Node.GetRegion()]
	if fullY := float64(y.InFlight) > limits[y.Node.GetRegion()]; fullX != fullY {
		return fullY
	}
	if a.Account != "" {
		return score(a.Account, x) < score(a.Account, y)
	}
	if closeX, closeY := x.Node.GetDataCentre() == a.Self.GetDataCentre(), y.Node.GetDataCentre() == a.Self.GetDataCentre(); closeX != closeY {
		return closeX
	}
	return x.InFlight < y.InFlight
}

// score is by address rather than by incarnation, so that an account's callers stay
// where they were when a node restarts.
func score(account string, m Member) uint64 {
	return xxhash.Sum64String(account + "\x00" + m.Node.GetHttpAddress())
}
