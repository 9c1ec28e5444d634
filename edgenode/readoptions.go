package edgenode

import (
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// A read that waits for a record notices a change at once and costs one call for the time that
// it waits. Upstreams and nodes write several records a second, so reads of these topics would
// return at once; a pause bounds their rate.
var (
	// A configuration change must take effect within three seconds of its write, even if the
	// previous read was lost and everything must be read again.
	configReadOptions = keyedlog.Options{Wait: time.Second, Pause: 50 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
	// A leaving upstream must get no new requests three seconds later.
	upstreamReadOptions = keyedlog.Options{Wait: 1500 * time.Millisecond, Pause: 400 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
	// Callers keep addresses for two seconds, so half a second more matters little.
	presenceReadOptions = keyedlog.Options{Wait: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 300 * time.Millisecond}
	// Nodes tell each other of blocked parts; the store tells those that were out of reach.
	blockReadOptions = keyedlog.Options{Wait: 3 * time.Second, Pause: 400 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 500 * time.Millisecond}
	// A caller that was told to retry after a second should find the grant in place.
	grantReadOptions = keyedlog.Options{Wait: 1500 * time.Millisecond, Pause: 150 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
)

// idlePause is added to the pause between reads on a node that holds no tokens and whose callers
// want none. Such a node sends nothing new to a leaving upstream after at most two seconds. At
// 86 nodes, 72 of them idle, it saves 180 calls to the store a second.
const idlePause = 850 * time.Millisecond

// updateIdle records whether the node is currently idle.
func (n *Node) updateIdle() { n.idle.Store(!n.starting() && !n.share.InUse()) }

// starting reports whether the node has just started and still waits for its first grant.
func (n *Node) starting() bool {
	return !n.share.Granted() && n.deps.Clock.Now()-n.startedAt < firstGrantTimeout
}

// idleExtraPause returns the extra pause between reads of an idle node.
func (n *Node) idleExtraPause() time.Duration {
	if n.idle.Load() {
		return idlePause
	}
	return 0
}

// Each node of a fleet writes records that wake all other readers: the calls to the store grow
// with the square of the fleet size unless the read rate drops with it.
const (
	// presencePausePerNode is added to the pause between reads of the nodes' records for each
	// live node, up to maxPresencePause. For that time callers are still sent to a leaving node.
	presencePausePerNode = 10 * time.Millisecond
	maxPresencePause     = 800 * time.Millisecond
	// grantPausePerNode is the same for the grants on a node that isn't short of tokens, up to
	// maxGrantPause.
	grantPausePerNode = 6 * time.Millisecond
	maxGrantPause     = 850 * time.Millisecond
	// shortfallWindow is how long after a shortfall a node reads grants without extra pause.
	shortfallWindow = time.Second
)

// presenceExtraPause returns the extra pause between reads of the nodes' records.
func (n *Node) presenceExtraPause() time.Duration {
	return min(maxPresencePause, time.Duration(len(n.roster.Live()))*presencePausePerNode)
}

// grantExtraPause returns the extra pause between reads of the grants.
func (n *Node) grantExtraPause() time.Duration {
	if n.starting() || n.share.ShortfallWithin(shortfallWindow) {
		return 0
	}
	return max(n.idleExtraPause(), min(maxGrantPause, time.Duration(len(n.roster.Live()))*grantPausePerNode))
}
