package membership

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	directPingTimeout = 500 * time.Millisecond
	// indirectPingTimeout bounds an indirect ping; maxHelpers is how many members are asked for one.
	indirectPingTimeout = time.Second
	maxHelpers          = 2
	// minPushInterval is the minimum time between two pushes of updates to all neighbours.
	// The interval doubles up to maxPushInterval while updates keep coming: when a whole
	// fleet starts at once, pushes would otherwise starve the answers to pings of CPU, and
	// unanswered pings cause further updates.
	minPushInterval = 100 * time.Millisecond
	maxPushInterval = 32 * minPushInterval
	// announceTimeout bounds each ping of a drain announcement, maxConcurrentPings how many
	// run at once.
	announceTimeout    = 2 * time.Second
	maxConcurrentPings = 32
)

// Members pings the other nodes and maintains the table of their states. It is safe
// for concurrent use.
type Members struct {
	self   *recordv1.NodeInfo
	clock  clockwork.Clock
	caller peer.Caller
	events *event.Recorder
	// openNodes returns the nodes that are open in the log.
	openNodes func() []*recordv1.NodeInfo
	selfView  func() *fleetv1.PeerView
	// platformAddresses returns the peer addresses in the platform's instance list.
	platformAddresses func() []string
	pushRequested     chan struct{}
	wake              chan struct{}

	mu          sync.Mutex
	table       *Table
	unknownTurn int
}

// NewMembers returns Members with an empty table. openNodes returns the incarnations
// that are open in the log, selfView describes this node to others.
func NewMembers(self *recordv1.NodeInfo, clock clockwork.Clock, caller peer.Caller, events *event.Recorder,
	openNodes func() []*recordv1.NodeInfo, selfView func() *fleetv1.PeerView) *Members {
	return &Members{self: self, clock: clock, caller: caller, events: events, openNodes: openNodes, selfView: selfView,
		platformAddresses: func() []string { return nil }, pushRequested: make(chan struct{}, 1), wake: make(chan struct{}, 1), table: NewTable(self)}
}

// SetPlatformAddresses sets a second source of nodes, for those that the log doesn't
// show, for example while it is down. It must be called before Run.
func (m *Members) SetPlatformAddresses(addresses func() []string) { m.platformAddresses = addresses }

// Run pings one member per ping interval until ctx is done.
func (m *Members) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { m.runPushes(ctx) })
	ticker := m.clock.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.runPeriod(ctx, &wait)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-m.wake:
		}
	}
}

// Wake starts the next period immediately, for when the log opened a node.
func (m *Members) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Members) runPeriod(ctx context.Context, wait *sync.WaitGroup) {
	open := m.openNodes()
	m.mu.Lock()
	target := m.table.Step(m.clock.Now(), open)
	unknown := m.nextUnknownAddress()
	added := m.table.NodesAdded()
	m.mu.Unlock()
	m.recordChanges()
	m.requestPush(added)
	if target != nil {
		wait.Go(func() { m.probe(ctx, target) })
	}
	if unknown != "" {
		wait.Go(func() { _ = m.ping(ctx, unknown, directPingTimeout) })
	}
}

// nextUnknownAddress returns, round-robin, a platform address that no member has.
func (m *Members) nextUnknownAddress() string {
	var unknown []string
	for _, address := range m.platformAddresses() {
		if address != m.self.GetPeerAddress() && !m.table.HasAddress(address) {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return ""
	}
	m.unknownTurn++
	return unknown[m.unknownTurn%len(unknown)]
}

// probe pings a member directly and, if that fails, indirectly through other members:
// a partition between just two nodes must not remove either from the addresses.
func (m *Members) probe(ctx context.Context, target *recordv1.NodeInfo) {
	started := m.clock.Now()
	if m.ping(ctx, target.GetPeerAddress(), directPingTimeout) == nil || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	helpers := m.table.Helpers(target.GetIncarnation(), maxHelpers)
	m.mu.Unlock()
	for _, helper := range helpers {
		if m.pingIndirect(ctx, helper, target) == nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	urgent := m.table.ProbeFailed(m.clock.Now(), started, target.GetIncarnation())
	m.mu.Unlock()
	m.recordChanges()
	m.requestPush(urgent)
}

// ping exchanges views with the node at an address. If either side can't resolve the
// other's member ID, for example because its log lags, it pings again with this node's
// full information, which makes the answer carry full information too.
// Ping pings a member and returns once it has answered.
func (m *Members) Ping(ctx context.Context, address string) error {
	_, err := m.exchange(ctx, address, pingRequest(m.messageViews(compactFormat)))
	return err
}

func (m *Members) ping(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, timeout)
	defer cancel()
	known, err := m.exchange(ctx, address, pingRequest(m.messageViews(compactFormat)))
	if err == nil && !known {
		_, err = m.exchange(ctx, address, pingRequest(m.messageViews(fullFormat)))
	}
	return err
}

func (m *Members) pingIndirect(ctx context.Context, helper, target *recordv1.NodeInfo) error {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, indirectPingTimeout)
	defer cancel()
	_, err := m.exchange(ctx, helper.GetPeerAddress(), &fleetv1.Request{Body: &fleetv1.Request_PingVia{
		PingVia: &fleetv1.PingVia{PeerAddress: target.GetPeerAddress(), Views: m.messageViews(compactFormat)},
	}})
	return err
}

// exchange sends a request and applies the views in the response. known is false if
// either node doesn't know the other.
func (m *Members) exchange(ctx context.Context, address string, request *fleetv1.Request) (known bool, err error) {
	request.Hlc = uint64(m.events.Clock().Now())
	answer, err := m.caller.Call(ctx, address, request)
	if err != nil {
		return false, errors.Trace(err)
	}
	m.events.Clock().Observe(event.Timestamp(answer.GetHlc()))
	if answer.GetCode() != 0 {
		return false, result.New(result.Code(answer.GetCode()), "%s", answer.GetMessage())
	}
	return m.HandleViews(answer.GetPong().GetViews()), nil
}

// HandleViews applies the views of a message, of which the first is the sender's own.
// It reports whether the sender is known.
func (m *Members) HandleViews(views []*fleetv1.PeerView) bool {
	if len(views) == 0 {
		return false
	}
	m.mu.Lock()
	sender := m.table.resolveNode(views[0])
	urgent := m.table.ApplyViews(m.clock.Now(), sender.GetIncarnation(), views)
	m.mu.Unlock()
	m.recordChanges()
	m.requestPush(urgent)
	return sender != nil
}

// HandlePing applies the views of a ping and returns those of the answer, or none if the
// sender's member ID is unknown here. A sender that included its full information may not
// know this node either, so the answer includes it too.
func (m *Members) HandlePing(views []*fleetv1.PeerView) []*fleetv1.PeerView {
	if len(views) == 0 {
		return m.messageViews(fullFormat)
	}
	m.mu.Lock()
	sender := m.table.resolveNode(views[0])
	newcomer := m.table.IsNewcomer(sender.GetIncarnation())
	m.mu.Unlock()
	m.HandleViews(views)
	switch {
	case sender == nil:
		return nil
	case newcomer:
		return m.messageViews(introductionFormat)
	case views[0].GetNode() != nil:
		return m.messageViews(fullFormat)
	}
	return m.messageViews(compactFormat)
}

// HandlePingVia pings a member on behalf of another one. It uses the full format so that the
// answer does too: the requester may not know which node now has the address.
func (m *Members) HandlePingVia(ctx context.Context, r *fleetv1.PingVia) ([]*fleetv1.PeerView, error) {
	m.HandleViews(r.GetViews())
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, directPingTimeout)
	defer cancel()
	answer, err := m.caller.Call(ctx, r.GetPeerAddress(), &fleetv1.Request{
		Hlc:  uint64(m.events.Clock().Now()),
		Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: m.messageViews(fullFormat)}},
	})
	if err != nil {
		return nil, result.New(result.PeerUnreachable, "%v", err)
	}
	m.HandleViews(answer.GetPong().GetViews())
	return answer.GetPong().GetViews(), nil
}

func (m *Members) requestPush(urgent bool) {
	if !urgent {
		return
	}
	select {
	case m.pushRequested <- struct{}{}:
	default:
	}
}

// runPushes sends updates to all neighbours at once, without waiting for the next pings.
func (m *Members) runPushes(ctx context.Context) {
	interval, lastPush := minPushInterval, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pushRequested:
		}
		interval = nextPushInterval(interval, m.clock.Since(lastPush))
		m.mu.Lock()
		neighbours := m.table.Neighbours()
		m.mu.Unlock()
		m.pingAll(ctx, neighbours, directPingTimeout)
		lastPush = m.clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(interval):
		}
	}
}

// nextPushInterval doubles the interval if an update came within twice the interval
// since the last push, and resets it otherwise.
func nextPushInterval(interval, sinceLast time.Duration) time.Duration {
	if sinceLast > 2*interval {
		return minPushInterval
	}
	return min(2*interval, maxPushInterval)
}

// pingAll pings nodes concurrently and returns how many did not answer.
func (m *Members) pingAll(ctx context.Context, nodes []*recordv1.NodeInfo, timeout time.Duration) int {
	var group errgroup.Group
	group.SetLimit(maxConcurrentPings)
	unanswered := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		group.Go(func() error {
			if m.ping(ctx, node.GetPeerAddress(), timeout) != nil {
				unanswered <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(unanswered)
}

// AnnounceDrain sends this node's current view to every member at once, so that none
// hands out its address any more. It returns how many did not answer.
func (m *Members) AnnounceDrain(ctx context.Context) int {
	m.mu.Lock()
	m.table.IncrementBeat()
	m.mu.Unlock()
	unanswered, answered := m.pingMembers(ctx)
	m.events.Record(event.DrainAnnounced, "told", answered, "silent", unanswered)
	return unanswered
}

// Announce gossips through the neighbours what this node now says of itself.
func (m *Members) Announce() {
	m.mu.Lock()
	m.table.IncrementBeat()
	m.mu.Unlock()
	m.requestPush(true)
}

func (m *Members) pingMembers(ctx context.Context) (unanswered, answered int) {
	m.mu.Lock()
	var nodes []*recordv1.NodeInfo
	for _, member := range m.table.All() {
		if !member.Suspect {
			nodes = append(nodes, member.Node)
		}
	}
	m.mu.Unlock()
	unanswered = m.pingAll(ctx, nodes, announceTimeout)
	return unanswered, len(nodes) - unanswered
}

var changeEvents = map[ChangeKind]event.Number{
	Joined: event.PeerJoined, Suspected: event.PeerSuspect, Gone: event.PeerGone,
	Replaced: event.PeerReplaced, Stalled: event.ProcessStalled,
}

func (m *Members) recordChanges() {
	m.mu.Lock()
	changes := m.table.TakeChanges()
	m.mu.Unlock()
	for _, c := range changes {
		m.events.Record(changeEvents[c.Kind], "peer", c.Incarnation)
	}
}

// Suspects reports whether a node is suspected or isn't a member.
func (m *Members) Suspects(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Suspects(incarnation)
}

// All returns the members, sorted by incarnation.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}
