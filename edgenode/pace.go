package edgenode

import (
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// A reading that waits for a record notices a change at once and costs one call for the
// time that it waits. Upstreams and nodes write several records a second, so readings of
// these would return at once; a pause bounds their number.
var (
	// configPace: a change must be in force within three seconds of its writing, also if the
	// reading before it was lost and all must be read again.
	configPace = keyedlog.Options{Wait: time.Second, Pause: 50 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
	// upstreamPace: a leaving upstream must get nothing new three seconds after.
	upstreamPace = keyedlog.Options{Wait: 1500 * time.Millisecond, Pause: 400 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
	// presencePace: callers keep addresses for two seconds, so half a second more matters little.
	presencePace = keyedlog.Options{Wait: 400 * time.Millisecond, Pause: 400 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 300 * time.Millisecond}
	// grantPace: a caller that was told to return after a second should find the grant.
	grantPace = keyedlog.Options{Wait: 1500 * time.Millisecond, Pause: 150 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond}
)

// quietPause lengthens the pause between readings on a node that holds no tokens and has no
// callers who want any. A leaving upstream gets nothing new from it two seconds after, at
// the latest. At 86 nodes, 72 of them quiet, it saves 180 calls to the store a second.
const quietPause = 850 * time.Millisecond

// noteQuiet notes whether the node is quiet now.
func (n *Node) noteQuiet() { n.quiet.Store(n.share.Granted() && !n.share.InUse()) }

// quietExtra is what lengthens the pause between readings.
func (n *Node) quietExtra() time.Duration {
	if n.quiet.Load() {
		return quietPause
	}
	return 0
}

// Each node of a fleet writes, and wakes all others that read: the calls to the store grow
// with the square of the fleet unless readings grow rarer with it.
const (
	// presencePerNode lengthens the pause between readings of the nodes' records by the
	// fleet's size, up to mostPresence: until then callers are sent to a node that leaves.
	presencePerNode = 10 * time.Millisecond
	mostPresence    = 800 * time.Millisecond
	// grantPerNode does so for the grants on a node that isn't short of tokens, up to
	// mostGrants.
	grantPerNode = 6 * time.Millisecond
	mostGrants   = 850 * time.Millisecond
	// shortFor is how long after a shortage a node looks for grants as often as it can.
	shortFor = time.Second
)

// presenceExtra is what lengthens the pause between readings of the nodes' records.
func (n *Node) presenceExtra() time.Duration {
	return min(mostPresence, time.Duration(len(n.roster.Live()))*presencePerNode)
}

// grantExtra is what lengthens the pause between readings of the grants.
func (n *Node) grantExtra() time.Duration {
	starting := !n.share.Granted() && n.deps.Clock.Now()-n.begun < grantPatience
	if starting || n.share.ShortfallWithin(shortFor) {
		return 0
	}
	return max(n.quietExtra(), min(mostGrants, time.Duration(len(n.roster.Live()))*grantPerNode))
}
