package edgenode

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/presence"
)

// grantNeedInterval is how often a node that doesn't follow the grants checks whether callers are
// now sent to it.
const grantNeedInterval = time.Second

// needsGrants reports whether the node has to follow the grants: it holds tokens, its callers want
// some, or callers are sent to it, so that it may be granted some before they come. Grants are
// long and change several times a second. When all nodes of a large fleet read them, the copies
// filled the link between the regions, and reports, readings and connections beyond it timed out.
func (n *Node) needsGrants() bool { return n.share.InUse() || n.isListed() }

// isListed reports whether the addresses of this node are given to callers.
func (n *Node) isListed() bool { return presence.IsListed(n.roster.Live(), n.presenceRecord()) }

// awaitGrantNeed blocks until the node needs the grants, and reports whether it blocked. A starting
// node first learns of the others, which tells whether callers are sent to it.
func (n *Node) awaitGrantNeed(ctx context.Context) (blocked bool) {
	select {
	case <-n.firstRosterRead:
	case <-n.grantsWanted:
		return true
	case <-ctx.Done():
		return true
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ; !n.needsGrants(); blocked = true {
		timer.Reset(grantNeedInterval)
		select {
		case <-n.grantsWanted:
			return true
		case <-timer.C:
		case <-ctx.Done():
			return true
		}
	}
	return blocked
}

// awaitTokens blocks until ctx ends, or this node was granted tokens, or another one is known that
// may lend some of the account.
func (n *Node) awaitTokens(ctx context.Context, account string) {
	for {
		changed := n.grants.Changed()
		if n.share.Granted() || len(n.lenders(account)) > 0 {
			return
		}
		select {
		case n.grantsWanted <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
