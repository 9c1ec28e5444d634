package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const (
	// maxServedWait and maxServedRecords limit the wait and the records of one request.
	maxServedWait    = 5 * time.Second
	maxServedRecords = 1000
)

// Server serves the records and the state that this node has applied to other nodes.
type Server struct {
	follower *recordlog.Follower
	source   *Source
	clock    clockwork.Clock
}

// NewServer returns a server for a follower and the source that the follower reads.
func NewServer(follower *recordlog.Follower, source *Source, clock clockwork.Clock) *Server {
	return &Server{follower: follower, source: source, clock: clock}
}

// HandleLogRead returns the requested records. It waits for the first one, or until this
// node's own read returned no records; the response then reports how old that read is.
func (s *Server) HandleLogRead(ctx context.Context, r *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxServedWait)
	slice, err := s.read(ctx, r.GetFrom(), min(int(r.GetMaxRecords()), maxServedRecords), wait)
	if errors.Is(err, ports.ErrAgedOut) {
		return s.handleAgedOut(r)
	}
	response := &fleetv1.LogSlice{Oldest: slice.Oldest, Next: slice.Next, AgeMs: uint64(s.follower.SinceRead().Milliseconds())}
	for _, record := range slice.Records {
		response.Records = append(response.Records, &fleetv1.LogEntry{Offset: record.Offset, Data: record.Data})
	}
	return response, nil
}

func (s *Server) read(ctx context.Context, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	idle := s.source.idle.wait()
	slice, appended, err := s.follower.Recent().Read(from, max)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-appended:
	case <-idle:
	case <-s.clock.After(wait):
	case <-ctx.Done():
	}
	slice, _, err = s.follower.Recent().Read(from, max)
	return slice, err
}

func (s *Server) handleAgedOut(r *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
	if !r.GetWantState() {
		return nil, result.New(result.RecordsAgedOut, "offset %d is no longer held", r.GetFrom())
	}
	state, err := s.follower.State()
	if err != nil {
		return nil, errors.Trace(err)
	}
	sealed, err := snapshot.Seal(state)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &fleetv1.LogSlice{Next: state.GetOffset() + 1, State: sealed, AgeMs: uint64(s.follower.SinceRead().Milliseconds())}, nil
}
