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
	pingTimeout = 500 * time.Millisecond
	// viaTimeout bounds an indirect ping, and helpers is how many are asked for one.
	viaTimeout = time.Second
	helpers    = 2
	// pushPause is the least time between two pushes of news to all neighbours. It
	// doubles up to maxPushPause while news keeps coming: when a fleet starts at once,
	// pushes would otherwise take the processors that answer pings, and pings that go
	// unanswered are the next news.
	pushPause    = 100 * time.Millisecond
	maxPushPause = 32 * pushPause
	// announceTimeout and announceAtOnce bound the announcement of a drain.
	announceTimeout = 2 * time.Second
	announceAtOnce  = 32
)

// Members pings the other nodes and keeps what they answer. It is safe for
// concurrent use.
type Members struct {
	self   *recordv1.NodeInfo
	clock  clockwork.Clock
	caller peer.Caller
	events *event.Recorder
	// known lists the nodes that the log holds open.
	known func() []*recordv1.NodeInfo
	view  func() *fleetv1.PeerView
	// listed returns peer addresses from the platform's list.
	listed func() []string
	urgent chan struct{}
	wake   chan struct{}

	mu    sync.Mutex
	table *Table
	turn  int
}

// NewMembers returns an empty table. known lists the incarnations that the log
// holds open, view describes this node to others.
func NewMembers(self *recordv1.NodeInfo, clock clockwork.Clock, caller peer.Caller, events *event.Recorder,
	known func() []*recordv1.NodeInfo, view func() *fleetv1.PeerView) *Members {
	return &Members{self: self, clock: clock, caller: caller, events: events, known: known, view: view,
		listed: func() []string { return nil }, urgent: make(chan struct{}, 1), wake: make(chan struct{}, 1), table: NewTable(self)}
}

// SetPlatformAddresses registers where to learn of nodes that the log doesn't show, as while it is
// down. It must be called before Run.
func (m *Members) SetPlatformAddresses(listed func() []string) { m.listed = listed }

// Run pings a member every period until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { m.pushes(ctx) })
	ticker := m.clock.NewTicker(period)
	defer ticker.Stop()
	for {
		m.round(ctx, &wait)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-m.wake:
		}
	}
}

// Wake begins the next period at once, for when the log opened a node.
func (m *Members) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Members) round(ctx context.Context, wait *sync.WaitGroup) {
	known := m.known()
	m.mu.Lock()
	target := m.table.Step(m.clock.Now(), known)
	stranger := m.stranger()
	grown := m.table.NodesAdded()
	m.mu.Unlock()
	m.record()
	m.push(grown)
	if target != nil {
		wait.Go(func() { m.probe(ctx, target) })
	}
	if stranger != "" {
		wait.Go(func() { _ = m.ping(ctx, stranger, pingTimeout) })
	}
}

// stranger returns in turn an address of the platform's list that no member holds.
func (m *Members) stranger() string {
	var strangers []string
	for _, address := range m.listed() {
		if address != m.self.GetPeerAddress() && !m.table.HasAddress(address) {
			strangers = append(strangers, address)
		}
	}
	if len(strangers) == 0 {
		return ""
	}
	m.turn++
	return strangers[m.turn%len(strangers)]
}

// probe pings a member, and asks others to try when it doesn't answer: a cut between
// two nodes alone must take neither out of the addresses.
func (m *Members) probe(ctx context.Context, target *recordv1.NodeInfo) {
	started := m.clock.Now()
	if m.ping(ctx, target.GetPeerAddress(), pingTimeout) == nil || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	asked := m.table.Helpers(target.GetIncarnation(), helpers)
	m.mu.Unlock()
	for _, helper := range asked {
		if m.pingVia(ctx, helper, target) == nil {
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	news := m.table.ProbeFailed(m.clock.Now(), started, target.GetIncarnation())
	m.mu.Unlock()
	m.record()
	m.push(news)
}

// ping exchanges views with the node at an address. Where one of the two knows the
// other by no number, as while its log lags, it pings again with this node written out,
// which has the answer written out too.
func (m *Members) ping(ctx context.Context, address string, limit time.Duration) error {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, limit)
	defer cancel()
	known, err := m.exchange(ctx, address, pingOf(m.say(short)))
	if err == nil && !known {
		_, err = m.exchange(ctx, address, pingOf(m.say(writtenOut)))
	}
	return err
}

func (m *Members) pingVia(ctx context.Context, helper, target *recordv1.NodeInfo) error {
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, viaTimeout)
	defer cancel()
	_, err := m.exchange(ctx, helper.GetPeerAddress(), &fleetv1.Request{Body: &fleetv1.Request_PingVia{
		PingVia: &fleetv1.PingVia{PeerAddress: target.GetPeerAddress(), Views: m.say(short)},
	}})
	return err
}

// exchange sends a request and takes in the views of the answer. known is false when
// this node or the one that answered doesn't know the other.
func (m *Members) exchange(ctx context.Context, address string, request *fleetv1.Request) (known bool, err error) {
	request.Hlc = uint64(m.events.Clock().Now())
	answer, err := m.caller.Call(ctx, address, request)
	if err != nil {
		return false, errors.Trace(err)
	}
	m.events.Clock().Observe(event.Stamp(answer.GetHlc()))
	if answer.GetCode() != 0 {
		return false, result.New(result.Code(answer.GetCode()), "%s", answer.GetMessage())
	}
	return m.HandleViews(answer.GetPong().GetViews()), nil
}

// HandleViews takes in a message; its first view is the sender's own. It tells whether the
// sender is known.
func (m *Members) HandleViews(views []*fleetv1.PeerView) bool {
	if len(views) == 0 {
		return false
	}
	m.mu.Lock()
	sender := m.table.nodeOf(views[0])
	news := m.table.ApplyViews(m.clock.Now(), sender.GetIncarnation(), views)
	m.mu.Unlock()
	m.record()
	m.push(news)
	return sender != nil
}

// HandlePing takes in a ping and returns the answer's views; none when the ping names its
// sender by a number that isn't known here. A sender that wrote itself out may not know
// this node either, so the answer does the same.
func (m *Members) HandlePing(views []*fleetv1.PeerView) []*fleetv1.PeerView {
	if len(views) == 0 {
		return m.say(writtenOut)
	}
	m.mu.Lock()
	sender := m.table.nodeOf(views[0])
	newcomer := m.table.IsNewcomer(sender.GetIncarnation())
	m.mu.Unlock()
	m.HandleViews(views)
	switch {
	case sender == nil:
		return nil
	case newcomer:
		return m.say(introducing)
	case views[0].GetNode() != nil:
		return m.say(writtenOut)
	}
	return m.say(short)
}

// HandlePingVia pings a member for another one, which may not know who answers at the address now.
func (m *Members) HandlePingVia(ctx context.Context, r *fleetv1.PingVia) ([]*fleetv1.PeerView, error) {
	m.HandleViews(r.GetViews())
	ctx, cancel := clockwork.WithTimeout(ctx, m.clock, pingTimeout)
	defer cancel()
	answer, err := m.caller.Call(ctx, r.GetPeerAddress(), &fleetv1.Request{
		Hlc:  uint64(m.events.Clock().Now()),
		Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: m.say(writtenOut)}},
	})
	if err != nil {
		return nil, result.New(result.PeerUnreachable, "%v", err)
	}
	m.HandleViews(answer.GetPong().GetViews())
	return answer.GetPong().GetViews(), nil
}

func (m *Members) push(news bool) {
	if !news {
		return
	}
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// pushes passes news to all neighbours at once rather than at the next pings.
func (m *Members) pushes(ctx context.Context) {
	pause, pushed := pushPause, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.urgent:
		}
		pause = nextPause(pause, m.clock.Since(pushed))
		m.mu.Lock()
		neighbours := m.table.Neighbours()
		m.mu.Unlock()
		m.pingAll(ctx, neighbours, pingTimeout)
		pushed = m.clock.Now()
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(pause):
		}
	}
}

// nextPause doubles the pause when news came within it, or within as much again.
func nextPause(pause, quiet time.Duration) time.Duration {
	if quiet > 2*pause {
		return pushPause
	}
	return min(2*pause, maxPushPause)
}

// pingAll returns how many did not answer.
func (m *Members) pingAll(ctx context.Context, nodes []*recordv1.NodeInfo, limit time.Duration) int {
	var group errgroup.Group
	group.SetLimit(announceAtOnce)
	silent := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		group.Go(func() error {
			if m.ping(ctx, node.GetPeerAddress(), limit) != nil {
				silent <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(silent)
}

// AnnounceDrain tells every member at once what this node's view says now, so that none
// hands its address out any more. It returns how many did not answer.
func (m *Members) AnnounceDrain(ctx context.Context) int {
	m.mu.Lock()
	m.table.IncrementBeat()
	m.mu.Unlock()
	silent, told := m.tell(ctx)
	m.events.Record(event.DrainAnnounced, "told", told, "silent", silent)
	return silent
}

// AnnounceServing passes on, by way of the neighbours, that this node begins to serve.
func (m *Members) AnnounceServing() {
	m.mu.Lock()
	m.table.IncrementBeat()
	m.mu.Unlock()
	m.push(true)
}

func (m *Members) tell(ctx context.Context) (silent, told int) {
	m.mu.Lock()
	var nodes []*recordv1.NodeInfo
	for _, member := range m.table.All() {
		if !member.Suspect {
			nodes = append(nodes, member.Node)
		}
	}
	m.mu.Unlock()
	silent = m.pingAll(ctx, nodes, announceTimeout)
	return silent, len(nodes) - silent
}

var changeEvents = map[ChangeKind]event.Number{
	Joined: event.PeerJoined, Suspected: event.PeerSuspect, Gone: event.PeerGone,
	Replaced: event.PeerReplaced, Stalled: event.ProcessStalled,
}

func (m *Members) record() {
	m.mu.Lock()
	changes := m.table.TakeChanges()
	m.mu.Unlock()
	for _, c := range changes {
		m.events.Record(changeEvents[c.Kind], "peer", c.Incarnation)
	}
}

// Suspects tells whether a node doesn't answer; true for one that isn't a member.
func (m *Members) Suspects(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Suspects(incarnation)
}

// All returns the other nodes, sorted by incarnation.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}
