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
	// maxServedWait and maxServedRecords bound what one read may ask for.
	maxServedWait    = 5 * time.Second
	maxServedRecords = 1000
)

// Server answers other nodes out of what this node folded.
type Server struct {
	follower *recordlog.Follower
	source   *Source
	clock    clockwork.Clock
}

// NewServer returns a server over a follower and the source that it reads.
func NewServer(follower *recordlog.Follower, source *Source, clock clockwork.Clock) *Server {
	return &Server{follower: follower, source: source, clock: clock}
}

// HandleLogRead returns the records asked for, after waiting for the first one, or until this
// node's own read came back with nothing: the answer then tells how fresh that is.
func (s *Server) HandleLogRead(ctx context.Context, r *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxServedWait)
	slice, err := s.read(ctx, r.GetFrom(), min(int(r.GetMaxRecords()), maxServedRecords), wait)
	if errors.Is(err, ports.ErrAgedOut) {
		return s.agedOut(r)
	}
	answer := &fleetv1.LogSlice{Oldest: slice.Oldest, Next: slice.Next, AgeMs: uint64(s.follower.SinceRead().Milliseconds())}
	for _, record := range slice.Records {
		answer.Records = append(answer.Records, &fleetv1.LogEntry{Offset: record.Offset, Data: record.Data})
	}
	return answer, nil
}

func (s *Server) read(ctx context.Context, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	idle := s.source.idle.wait()
	slice, grown, err := s.follower.Recent().Read(from, max)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-grown:
	case <-idle:
	case <-s.clock.After(wait):
	case <-ctx.Done():
	}
	slice, _, err = s.follower.Recent().Read(from, max)
	return slice, err
}

func (s *Server) agedOut(r *fleetv1.LogRead) (*fleetv1.LogSlice, error) {
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
