package request

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	// roomPollInterval is how often a waiting request looks for room at brittle upstreams, and maxRoomWait
	// bounds its wait.
	roomPollInterval = 5 * time.Millisecond
	maxRoomWait      = 250 * time.Millisecond
	// maxAwaits bounds how often a request waits for upstreams that could not be reached.
	maxAwaits = 2
)

// waits are a request's waits for upstreams while none is left.
type waits struct {
	// tried holds the names of the upstreams that failed the request, unreached those of them that nothing
	// was sent to.
	tried     map[string]bool
	unreached []*operatorv1.Upstream
	room      time.Duration
	awaited   int
}

func newWaits() *waits { return &waits{tried: map[string]bool{}} }

// recordFailure records a failed attempt.
func (w *waits) recordFailure(u *operatorv1.Upstream, err error) {
	w.tried[u.GetName()] = true
	if result.From(err).Unconnected {
		w.unreached = append(w.unreached, u)
	}
}

// pick picks an upstream. If none is left, it waits as long as one may be again: a brittle one has room
// soon, a sound one may be silent for a second.
func (s *Server) pick(ctx context.Context, request routing.Request, w *waits) (routing.PickResult, error) {
	for {
		request.Tried = w.tried
		pick, err := s.Picker.Pick(request, s.candidateUpstreams(request.Service))
		if err == nil || !s.waitForUpstream(ctx, err, w) {
			return pick, err
		}
	}
}

// waitForUpstream waits until it is worthwhile to pick again after err; false if it isn't.
func (s *Server) waitForUpstream(ctx context.Context, err error, w *waits) bool {
	switch {
	case result.CodeOf(err) == result.Overloaded && w.room < maxRoomWait:
		w.room += roomPollInterval
		return s.sleep(ctx, roomPollInterval)
	case len(w.unreached) > 0 && w.awaited < maxAwaits && s.AwaitReachable != nil:
		w.awaited++
		return s.AwaitReachable(ctx, addressesOf(w.unreached)) && w.forgetUnreached()
	default:
		return false
	}
}

func (w *waits) forgetUnreached() bool {
	for _, u := range w.unreached {
		delete(w.tried, u.GetName())
	}
	w.unreached = nil
	return true
}

func addressesOf(upstreams []*operatorv1.Upstream) []string {
	addresses := make([]string, len(upstreams))
	for i, u := range upstreams {
		addresses[i] = u.GetAddress()
	}
	return addresses
}
