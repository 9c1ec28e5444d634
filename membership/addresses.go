package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/reach"
)

const (
	// A node whose load exceeds loadFactor times its region's mean plus loadMargin is
	// ranked after the region's other nodes.
	loadFactor = 1.25
	loadMargin = 4
)

// Address is the HTTP address and location of a node that callers may use.
type Address struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// AddressQuery describes the caller that asks for addresses and the answering node.
type AddressQuery struct {
	// Account is the caller's client account, empty if unknown.
	Account string
	// Self is the answering node; SelfServing is set while it accepts callers.
	Self         *recordv1.NodeInfo
	SelfServing  bool
	SelfInFlight uint32
	// SelfPathsLost is set while the answering node reaches most upstreams only through others.
	SelfPathsLost bool
}

// Addresses returns the nodes that callers should use, best first.
func (m *Members) Addresses(query AddressQuery) []Address {
	query.Self = m.self
	return Rank(query, m.All())
}

// Rank orders the usable nodes for a caller: those of the answering node's region
// first. Within a region, a known account's callers get the same order from every node
// (rendezvous hashing), so that its budget is split over few nodes; nodes far above
// the region's mean load come last. Without an account, nodes of the answering node's
// data centre come first, then the least loaded.
//
// Draining, suspected and damped nodes are never handed out, since a caller would keep
// the address and be refused.
func Rank(query AddressQuery, members []Member) []Address {
	var usable []Member
	if query.SelfServing {
		usable = append(usable, Member{Node: query.Self, InFlight: query.SelfInFlight, PathsLost: query.SelfPathsLost})
	}
	for _, member := range members {
		if member.Usable() {
			usable = append(usable, member)
		}
	}
	usable = preferDirect(usable)
	limits := loadLimits(usable)
	sort.SliceStable(usable, func(i, j int) bool { return query.less(usable[i], usable[j], limits) })
	addresses := make([]Address, 0, len(usable))
	for _, c := range usable {
		addresses = append(addresses, Address{c.Node.GetHttpAddress(), c.Node.GetRegion(), c.Node.GetDataCentre()})
	}
	return addresses
}

// preferDirect leaves out the nodes that have lost their paths to upstreams, in each region where the
// others suffice.
func preferDirect(members []Member) []Member {
	all, direct := map[string]int{}, map[string]int{}
	for _, m := range members {
		all[m.Node.GetRegion()]++
		if !m.PathsLost {
			direct[m.Node.GetRegion()]++
		}
	}
	return slices.DeleteFunc(members, func(m Member) bool {
		region := m.Node.GetRegion()
		return m.PathsLost && reach.DirectSuffices(direct[region], all[region])
	})
}

// loadLimits returns for each region the load above which a node is ranked last.
func loadLimits(members []Member) map[string]float64 {
	total, count := map[string]float64{}, map[string]float64{}
	for _, m := range members {
		total[m.Node.GetRegion()] += float64(m.InFlight)
		count[m.Node.GetRegion()]++
	}
	for region := range total {
		total[region] = total[region]/count[region]*loadFactor + loadMargin
	}
	return total
}

func (q AddressQuery) less(x, y Member, limits map[string]float64) bool {
	if sameRegionX, sameRegionY := x.Node.GetRegion() == q.Self.GetRegion(), y.Node.GetRegion() == q.Self.GetRegion(); sameRegionX != sameRegionY {
		return sameRegionX
	}
	if x.Node.GetRegion() != y.Node.GetRegion() {
		return x.Node.GetRegion() < y.Node.GetRegion()
	}
	overloadedX := float64(x.InFlight) > limits[x.Node.GetRegion()]
	if overloadedY := float64(y.InFlight) > limits[y.Node.GetRegion()]; overloadedX != overloadedY {
		return overloadedY
	}
	if q.Account != "" {
		return rendezvousHash(q.Account, x) < rendezvousHash(q.Account, y)
	}
	if sameDataCentreX, sameDataCentreY := x.Node.GetDataCentre() == q.Self.GetDataCentre(), y.Node.GetDataCentre() == q.Self.GetDataCentre(); sameDataCentreX != sameDataCentreY {
		return sameDataCentreX
	}
	return x.InFlight < y.InFlight
}

// rendezvousHash hashes the address and not the incarnation, so that an account's callers
// stay on the same nodes when a node restarts.
func rendezvousHash(account string, m Member) uint64 {
	return xxhash.Sum64String(account + "\x00" + m.Node.GetHttpAddress())
}
