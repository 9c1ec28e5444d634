package edgenode

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/lending"
)

// lenders returns the nodes that hold some of an account. While the store is out of
// reach these are the ones known before.
func (n *Node) lenders(account string) []lending.Peer {
	holdings := n.grants.Allocations(account)
	var peers []lending.Peer
	for _, r := range n.roster.Live() {
		holding := holdings[r.Node]
		if r.Node == n.settings.Node || r.PeerAddress == "" || holding.Ceiling == 0 {
			continue
		}
		peers = append(peers, lending.Peer{Node: r.Node, Address: r.PeerAddress, SameRegion: r.Region == n.settings.Region, Ceiling: holding.Ceiling, Unused: holding.Unused})
	}
	return peers
}

// expireEvery is how often open loans are looked at.
const expireEvery = time.Second

func (n *Node) expireLoans(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), expireEvery, func(context.Context) { n.lender.Expire() })
}
