package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const (
	// idleWait is how long a read waits at the log for a record, and relayedWait at a
	// peer. The peer answers as soon as its own read came back with nothing, so that the
	// log's age doesn't add up over the hops; the rest is for what that answer takes.
	idleWait    = time.Second
	relayedWait = idleWait + 250*time.Millisecond
	// answerTime is what a peer may take beyond the wait it was asked for.
	answerTime = 500 * time.Millisecond
	// maxAge is how long ago the log may last have answered a chain of readers. It
	// covers an idle wait at the log and as much for the way over the hops.
	maxAge = 3 * time.Second
	// avoidPeer is for how long a node reads the log itself after its peer failed it.
	avoidPeer = 5 * time.Second
	// avoidLog is how long after a failure the log is left alone when a peer answers.
	avoidLog = time.Second
	// logTime is what the log may take beyond the wait it was asked for.
	logTime = 3 * time.Second
	// stateTime bounds the transfer of a whole state from a peer.
	stateTime = 20 * time.Second
	// firstOffset is asked for by a node that has folded nothing yet.
	firstOffset = 1
	// maxAsked is how many peers are asked while the log is out of reach.
	maxAsked = 3
)

// Source reads from a peer, from the log, or while the log is out of reach from
// whichever peer knows most. It implements recordlog.Source.
type Source struct {
	Self   Peer
	Log    recordlog.Source
	Caller peer.Caller
	Clock  clockwork.Clock
	Events *event.Recorder
	// Peers returns the other nodes that answer now.
	Peers func() []Peer

	// idled is set when the last read came back with nothing but a later word of the
	// log, idle beats once the follower has taken that in.
	idled bool
	idle  pulse
	// told is when the log last answered, as told by the last beat.
	told time.Time

	mu        sync.Mutex
	peerAfter time.Time
	logAfter  time.Time
}

var _ recordlog.Source = (*Source)(nil)

// Read implements recordlog.Source. It must not be called by two at once.
func (s *Source) Read(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	if s.idled {
		s.idle.beat()
	}
	slice, err := s.read(ctx, from, max, wait)
	s.idled = err == nil && len(slice.Records) == 0 && s.later(slice.Age)
	return slice, err
}

// later tells that the log answered again since the last beat. Without this two nodes
// that read from each other while the log is down would wake each other as fast as the
// network goes.
func (s *Source) later(age time.Duration) bool {
	answered := s.Clock.Now().Add(-age)
	if answered.Sub(s.told) < idleWait/2 {
		return false
	}
	s.told = answered
	return true
}

func (s *Source) read(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	if reader, ok := s.reader(); ok {
		slice, err := s.fromPeer(ctx, reader, from, max, relayedWait)
		if err == nil && slice.Age <= maxAge {
			return slice, nil
		}
		if !errors.Is(err, ports.ErrAgedOut) {
			s.avoid(reader, slice.Age, err)
		}
	}
	slice, err := s.fromLog(ctx, from, max, wait)
	if err == nil || errors.Is(err, ports.ErrAgedOut) {
		return slice, err
	}
	return s.fromAny(ctx, from, max, wait, err)
}

func (s *Source) reader() (Peer, bool) {
	s.mu.Lock()
	avoided := s.Clock.Now().Before(s.peerAfter)
	s.mu.Unlock()
	if avoided {
		return Peer{}, false
	}
	var ready []Peer
	for _, p := range s.Peers() {
		if p.Offset > 0 {
			ready = append(ready, p)
		}
	}
	return readsFrom(s.Self, ready)
}

// avoid makes this node read the log itself for a while. A peer that is cut from the
// log, or that waits for this very node, would otherwise hold every change back.
func (s *Source) avoid(reader Peer, age time.Duration, err error) {
	s.mu.Lock()
	s.peerAfter = s.Clock.Now().Add(avoidPeer)
	s.mu.Unlock()
	s.Events.Record(event.RelayFailed, "peer", reader.Incarnation, "age", age, "why", err)
}

func (s *Source) fromLog(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	s.mu.Lock()
	avoided := s.Clock.Now().Before(s.logAfter)
	s.mu.Unlock()
	if avoided {
		return recordlog.Slice{}, errors.New("the log failed a moment ago")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, wait+logTime)
	defer cancel()
	slice, err := s.Log.Read(ctx, from, max, idleWait)
	if err != nil && !errors.Is(err, ports.ErrAgedOut) {
		s.mu.Lock()
		s.logAfter = s.Clock.Now().Add(avoidLog)
		s.mu.Unlock()
	}
	return slice, err
}

// fromAny asks the peers that know most. It is the way of a node that starts, or is
// cut off, while the log is out of reach.
func (s *Source) fromAny(ctx context.Context, from uint64, max int, wait time.Duration, cause error) (recordlog.Slice, error) {
	for _, p := range byOffset(s.Peers()) {
		slice, err := s.fromPeer(ctx, p, from, max, wait)
		if err == nil && slice.Next >= from {
			return slice, nil
		}
		// A node that has folded something waits for the log to fill the gap: taking
		// the peer's whole state would end its incarnation for nothing.
		if errors.Is(err, ports.ErrAgedOut) && from == firstOffset {
			return slice, err
		}
	}
	return recordlog.Slice{}, cause
}

func (s *Source) fromPeer(ctx context.Context, p Peer, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	answer, err := s.ask(ctx, p, wait+answerTime, &fleetv1.LogRead{
		From: from, MaxRecords: uint32(max), WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return recordlog.Slice{}, err
	}
	slice := recordlog.Slice{Age: time.Duration(answer.GetAgeMs()) * time.Millisecond}
	slice.Oldest, slice.Next = answer.GetOldest(), answer.GetNext()
	for _, r := range answer.GetRecords() {
		slice.Records = append(slice.Records, ports.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return slice, nil
}

func (s *Source) ask(ctx context.Context, p Peer, limit time.Duration, read *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, limit)
	defer cancel()
	answer, err := s.Caller.Call(ctx, p.Address, &fleetv1.Request{
		Hlc:  uint64(s.Events.Clock().Now()),
		Body: &fleetv1.Request_LogRead{LogRead: read},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Events.Clock().Observe(event.Timestamp(answer.GetHlc()))
	switch result.Code(answer.GetCode()) {
	case result.OK:
		return answer.GetLogSlice(), nil
	case result.RecordsAgedOut:
		return nil, errors.Trace(ports.ErrAgedOut)
	}
	return nil, result.New(result.Code(answer.GetCode()), "%s", answer.GetMessage())
}

// State implements recordlog.Source: a snapshot in the log, or else the state of the
// peer that knows most.
func (s *Source) State(ctx context.Context, ahead uint64) (*recordv1.FoldState, error) {
	state, cause := s.Log.State(ctx, ahead)
	if cause == nil {
		return state, nil
	}
	for _, p := range byOffset(s.Peers()) {
		if state, err := s.stateOf(ctx, p, ahead); err == nil {
			return state, nil
		}
	}
	return nil, cause
}

func (s *Source) stateOf(ctx context.Context, p Peer, ahead uint64) (*recordv1.FoldState, error) {
	answer, err := s.ask(ctx, p, stateTime, &fleetv1.LogRead{From: ahead + 1, WantState: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	state, err := snapshot.Open(answer.GetState())
	if err != nil {
		return nil, errors.Trace(err)
	}
	if state.GetOffset() <= ahead {
		return nil, errors.Trace(fold.ErrStaleState)
	}
	return state, nil
}
