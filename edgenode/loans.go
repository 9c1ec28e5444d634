package edgenode

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/lending"
)

// lenders returns the nodes that hold an allocation of an account. While the store is
// unreachable, these are the last known ones.
func (n *Node) lenders(account string) []lending.Peer {
	allocations := n.grants.Allocations(account)
	var peers []lending.Peer
	for _, r := range n.roster.Live() {
		allocation := allocations[r.Node]
		if r.Node == n.settings.Node || r.PeerAddress == "" || allocation.Ceiling == 0 {
			continue
		}
		peers = append(peers, lending.Peer{Node: r.Node, Address: r.PeerAddress, SameRegion: r.Region == n.settings.Region,
			Restarted: allocation.Incarnation != r.Incarnation, Ceiling: allocation.Ceiling, Unused: allocation.Unused})
	}
	return peers
}

// loanExpiryInterval is how often open loans are checked for expiry.
const loanExpiryInterval = time.Second

func (n *Node) expireLoans(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), loanExpiryInterval, func(context.Context) { n.lender.Expire() })
}
