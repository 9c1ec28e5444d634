package edgenode

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/throttle"
)

// limitInterval is how often the node's parts of upstreams' limits follow the nodes that send: about as often as
// it reads the nodes' records.
const limitInterval = time.Second

// sendPart returns this node's part of the requests to the upstreams of a data centre.
func (n *Node) sendPart(dataCentre string) throttle.Part {
	holding := n.roster.Holding()
	if !n.roster.ReadWithin(presence.SelfHoldTimeout) {
		holding = slices.DeleteFunc(slices.Clone(holding), func(r presence.Record) bool { return r.Node == n.settings.Node })
	}
	return n.partAmong(holding, dataCentre)
}

// partAmong returns this node's part among the nodes that hold a share.
func (n *Node) partAmong(holding []presence.Record, dataCentre string) throttle.Part {
	to := presence.Place{DataCentre: dataCentre, Region: n.settings.Regions[dataCentre]}
	return throttle.Part{Share: presence.SendShare(holding, n.presenceRecord(), to), Senders: max(1, presence.CountListed(holding))}
}

// firstOpen returns how many requests this node may have open at an upstream until its first answer: its part of the
// slots. While the nodes aren't known, as at the start, the node takes itself for one of a few.
func (n *Node) firstOpen(slots int) int {
	senders := unknownSenders
	if n.roster.HasRead() {
		senders = n.senders()
	}
	return max(1, slots/senders)
}

// unknownSenders is the number of nodes that send, as long as it isn't known.
const unknownSenders = 6

// adjustLimits keeps to the node's part of each limit that an upstream named. Without it, a node whose part was
// small would learn only with its next answer that the part is larger by now, minutes later.
func (n *Node) adjustLimits(ctx context.Context) {
	periodic.Run(ctx, clockwork.NewRealClock(), limitInterval, func(context.Context) {
		parts := make(map[string]throttle.Part)
		snapshot := n.directory.Current()
		for _, service := range snapshot.Services() {
			for _, u := range snapshot.Upstreams(service) {
				if !u.Throttle.Active() {
					continue
				}
				if _, ok := parts[u.DataCentre]; !ok {
					parts[u.DataCentre] = n.sendPart(u.DataCentre)
				}
				u.Throttle.AdjustPart(parts[u.DataCentre], n.deps.Clock.Now())
			}
		}
	})
}

// UnevenUpstreams returns the milliseconds that upstreams take for an event of a stream, or for a plain request, as if nothing
// slowed them down, by upstream; those that don't report slow-downs, or that nothing was observed of, are left out.
func (n *Node) UnevenUpstreams() map[string]float64 {
	times := make(map[string]float64)
	snapshot := n.directory.Current()
	for _, service := range snapshot.Services() {
		for _, u := range snapshot.Upstreams(service) {
			if mean, observations := u.WorkTime(); observations > 0 && u.ReportsSlowdown() {
				times[u.ID] = mean / float64(time.Millisecond)
			}
		}
	}
	return times
}

// LimitedUpstreams returns the requests a second that upstreams take from all nodes together, by upstream: those that
// named a limit and those that are cold.
func (n *Node) LimitedUpstreams() map[string]float64 {
	limits := make(map[string]float64)
	now, snapshot := n.deps.Clock.Now(), n.directory.Current()
	for _, service := range snapshot.Services() {
		for _, u := range snapshot.Upstreams(service) {
			if perSecond, _, limited := u.Throttle.Limit(now); limited {
				limits[u.ID] = perSecond
			}
		}
	}
	return limits
}
