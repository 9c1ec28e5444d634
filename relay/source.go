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
	// logReadWait is how long a read waits for a record at the log, and peerReadWait at a
	// peer. A peer responds as soon as its own read returned no records, so that the age
	// doesn't accumulate over the hops; the extra time covers that response.
	logReadWait  = time.Second
	peerReadWait = logReadWait + 250*time.Millisecond
	// peerReadMargin is how long a peer may take beyond the requested wait.
	peerReadMargin = 500 * time.Millisecond
	// maxLogAge is the greatest accepted time since the log last answered, as reported by
	// the parent. It covers an idle wait at the log and as much again for the hops.
	maxLogAge = 3 * time.Second
	// parentBackoff is how long a node reads the log itself after its parent failed.
	parentBackoff = 5 * time.Second
	// logBackoff is how long the log isn't read after a failure.
	logBackoff = time.Second
	// logReadMargin is how long the log may take beyond the requested wait.
	logReadMargin = 3 * time.Second
	// stateTransferTimeout bounds the transfer of a whole state from a peer.
	stateTransferTimeout = 20 * time.Second
	// firstOffset is requested by a node that has applied no records yet.
	firstOffset = 1
	// maxFallbackPeers is how many peers are tried while the log is unreachable.
	maxFallbackPeers = 3
)

// Source reads from the parent, from the log, or, while the log is unreachable, from the
// peers with the highest offsets. It implements recordlog.Source.
type Source struct {
	Self   Peer
	Log    recordlog.Source
	Caller peer.Caller
	Clock  clockwork.Clock
	Events *event.Recorder
	// Peers returns the other nodes that respond now.
	Peers func() []Peer

	// readWasIdle is set when the last read returned no records but a later answer of the
	// log; idle is notified once the follower has processed that.
	readWasIdle bool
	idle        notifier
	// lastNotified is when the log last answered as of the last notification of idle.
	lastNotified time.Time

	mu            sync.Mutex
	parentRetryAt time.Time
	logRetryAt    time.Time
}

var _ recordlog.Source = (*Source)(nil)

// Read implements recordlog.Source. It must not be called concurrently.
func (s *Source) Read(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	if s.readWasIdle {
		s.idle.notifyAll()
	}
	slice, err := s.read(ctx, from, max, wait)
	s.readWasIdle = err == nil && len(slice.Records) == 0 && s.logAnsweredSince(slice.Age)
	return slice, err
}

// logAnsweredSince reports whether the log answered again since the last notification.
// Otherwise two nodes that read from each other while the log is down would wake each
// other as fast as the network allows.
func (s *Source) logAnsweredSince(age time.Duration) bool {
	answered := s.Clock.Now().Add(-age)
	if answered.Sub(s.lastNotified) < logReadWait/2 {
		return false
	}
	s.lastNotified = answered
	return true
}

func (s *Source) read(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	if parent, ok := s.parent(); ok {
		slice, err := s.readFromPeer(ctx, parent, from, max, peerReadWait)
		if err == nil && slice.Age <= maxLogAge {
			return slice, nil
		}
		if !errors.Is(err, ports.ErrAgedOut) {
			s.backOffFromParent(parent, slice.Age, err)
		}
	}
	slice, err := s.readFromLog(ctx, from, max, wait)
	if err == nil || errors.Is(err, ports.ErrAgedOut) {
		return slice, err
	}
	return s.readFromMostAdvanced(ctx, from, max, wait, err)
}

func (s *Source) parent() (Peer, bool) {
	s.mu.Lock()
	backingOff := s.Clock.Now().Before(s.parentRetryAt)
	s.mu.Unlock()
	if backingOff {
		return Peer{}, false
	}
	var ready []Peer
	for _, p := range s.Peers() {
		if p.Offset > 0 {
			ready = append(ready, p)
		}
	}
	return selectParent(s.Self, ready)
}

// backOffFromParent makes this node read the log itself for parentBackoff. A parent that
// is cut off from the log, or reads from this node, would otherwise delay every change.
func (s *Source) backOffFromParent(parent Peer, age time.Duration, err error) {
	s.mu.Lock()
	s.parentRetryAt = s.Clock.Now().Add(parentBackoff)
	s.mu.Unlock()
	s.Events.Record(event.RelayFailed, "peer", parent.Incarnation, "age", age, "why", err)
}

func (s *Source) readFromLog(ctx context.Context, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	s.mu.Lock()
	backingOff := s.Clock.Now().Before(s.logRetryAt)
	s.mu.Unlock()
	if backingOff {
		return recordlog.Slice{}, errors.New("log reads are suspended after a recent failure")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, wait+logReadMargin)
	defer cancel()
	slice, err := s.Log.Read(ctx, from, max, logReadWait)
	if err != nil && !errors.Is(err, ports.ErrAgedOut) {
		s.mu.Lock()
		s.logRetryAt = s.Clock.Now().Add(logBackoff)
		s.mu.Unlock()
	}
	return slice, err
}

// readFromMostAdvanced reads from the peers with the highest offsets. A node that starts,
// or is cut off, while the log is unreachable gets its records this way.
func (s *Source) readFromMostAdvanced(ctx context.Context, from uint64, max int, wait time.Duration, cause error) (recordlog.Slice, error) {
	for _, p := range mostAdvanced(s.Peers()) {
		slice, err := s.readFromPeer(ctx, p, from, max, wait)
		if err == nil && slice.Next >= from {
			return slice, nil
		}
		// A node that has applied records waits for the log to fill the gap: restoring
		// the peer's whole state would end its incarnation needlessly.
		if errors.Is(err, ports.ErrAgedOut) && from == firstOffset {
			return slice, err
		}
	}
	return recordlog.Slice{}, cause
}

func (s *Source) readFromPeer(ctx context.Context, p Peer, from uint64, max int, wait time.Duration) (recordlog.Slice, error) {
	response, err := s.callPeer(ctx, p, wait+peerReadMargin, &fleetv1.LogRead{
		From: from, MaxRecords: uint32(max), WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return recordlog.Slice{}, err
	}
	slice := recordlog.Slice{Age: time.Duration(response.GetAgeMs()) * time.Millisecond}
	slice.Oldest, slice.Next = response.GetOldest(), response.GetNext()
	for _, r := range response.GetRecords() {
		slice.Records = append(slice.Records, ports.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return slice, nil
}

func (s *Source) callPeer(ctx context.Context, p Peer, timeout time.Duration, read *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	response, err := s.Caller.Call(ctx, p.Address, &fleetv1.Request{
		Hlc:  uint64(s.Events.Clock().Now()),
		Body: &fleetv1.Request_LogRead{LogRead: read},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Events.Clock().Observe(event.Timestamp(response.GetHlc()))
	switch result.Code(response.GetCode()) {
	case result.OK:
		return response.GetLogSlice(), nil
	case result.RecordsAgedOut:
		return nil, errors.Trace(ports.ErrAgedOut)
	}
	return nil, result.New(result.Code(response.GetCode()), "%s", response.GetMessage())
}

// State implements recordlog.Source: it returns a snapshot from the log, or else the
// state of one of the peers with the highest offsets.
func (s *Source) State(ctx context.Context, after uint64) (*recordv1.FoldState, error) {
	state, cause := s.Log.State(ctx, after)
	if cause == nil {
		return state, nil
	}
	for _, p := range mostAdvanced(s.Peers()) {
		if state, err := s.fetchState(ctx, p, after); err == nil {
			return state, nil
		}
	}
	return nil, cause
}

func (s *Source) fetchState(ctx context.Context, p Peer, after uint64) (*recordv1.FoldState, error) {
	response, err := s.callPeer(ctx, p, stateTransferTimeout, &fleetv1.LogRead{From: after + 1, WantState: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	state, err := snapshot.Open(response.GetState())
	if err != nil {
		return nil, errors.Trace(err)
	}
	if state.GetOffset() <= after {
		return nil, errors.Trace(fold.ErrStaleState)
	}
	return state, nil
}
