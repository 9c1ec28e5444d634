package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// resumingCallerCount is the number of callers that take their streams up again.
	resumingCallerCount = 4
	// maxStreamTries bounds the tries of one stream.
	maxStreamTries = 6
	// resumePause is the pause of such a caller between two tries.
	resumePause = 100 * time.Millisecond
	// resumableEventInterval is the longest time between two events of their streams.
	resumableEventInterval = 120 * time.Millisecond

	// secondVersion is the version of the engine that doesn't run the first one.
	secondVersion = "v2"
	// maxMixedStreams is how many streams may hold events of two versions.
	maxMixedStreams = 2
	// minTakenUp is from how many streams taken up on the share of them that goes on is checked.
	minTakenUp = 12
)

// runResumingCaller reads streams. One that breaks off it takes up at a node that it draws.
func (w *workload) runResumingCaller(ctx context.Context, number int) {
	w.openStreams(ctx, number, resumingGroup, func(s streamCaller, sent int) func() {
		call := standin.Call{ID: fmt.Sprintf("%d-r%d-%d", w.seed, number, sent), Route: standin.StreamRoute, Deadline: callTimeout,
			EventInterval: time.Duration(s.r.Int64N(int64(resumableEventInterval)))}
		var addresses []string
		for range maxStreamTries {
			if address, ok := s.book.address(ctx, s.r); ok {
				addresses = append(addresses, address)
			}
		}
		return func() { w.readStream(ctx, s, addresses, call) }
	})
}

// readStream reads one stream, with a try at each address until it is complete.
func (w *workload) readStream(ctx context.Context, s streamCaller, addresses []string, call standin.Call) {
	try := call
	for i, address := range addresses {
		if i > 0 {
			try.ID = fmt.Sprintf("%s.%d", call.ID, i)
			time.Sleep(resumePause)
		}
		o := w.call(ctx, s.caller, address, streamAccount, try)
		s.book.observe(o)
		if o.Complete && o.Signed {
			return
		}
		if n := len(o.Events); n > 0 {
			if try.Resumes == "" {
				try.Resumes = try.ID
			}
			try.ResumeAfter = o.Events[n-1]
		}
	}
}

// firstAttempt returns the ID of the attempt that brought the first event of a record's stream.
func firstAttempt(r *callRecord) string {
	if r.call.Resumes != "" {
		return r.call.Resumes
	}
	return r.call.ID
}

// checkVersions: no more than maxMixedStreams streams hold events of two versions, over all tries of their callers.
func (h *history) checkVersions() []Violation {
	versions := make(map[string][]string)
	for i := range h.records {
		r := &h.records[i]
		first := firstAttempt(r)
		for _, v := range r.outcome.Versions {
			if !slices.Contains(versions[first], v) {
				versions[first] = append(versions[first], v)
			}
		}
	}
	var mixed []string
	for first, v := range versions {
		if len(v) > 1 {
			mixed = append(mixed, first)
		}
	}
	if len(mixed) <= maxMixedStreams {
		return nil
	}
	slices.Sort(mixed)
	return []Violation{{"one version in a stream", fmt.Sprintf("%d streams hold events of two versions: %v", len(mixed), mixed)}}
}

// checkTakenUp: of the streams that are taken up at undisturbed nodes, while no upstream fails, at least half as large
// a share goes on as of new streams begins.
func (h *history) checkTakenUp() []Violation {
	var taken, begun struct{ sent, served int }
	for i := range h.records {
		r := &h.records[i]
		if r.call.Route.Name != standin.StreamRoute.Name || r.account != streamAccount || failedToConnect(r.outcome) || h.nodeOrUpstreamDisturbed(r) {
			continue
		}
		counts := &begun
		if r.call.Resumes != "" {
			counts = &taken
		}
		counts.sent++
		if r.outcome.Status == http.StatusOK && len(r.outcome.Events) > 0 {
			counts.served++
		}
	}
	if taken.sent < minTakenUp || 2*taken.served*begun.sent >= begun.served*taken.sent {
		return nil
	}
	return []Violation{{"streams taken up", fmt.Sprintf("%d of %d streams taken up went on, %d of %d new ones began", taken.served, taken.sent, begun.served, begun.sent)}}
}

// nodeOrUpstreamDisturbed reports whether a node was disturbed within stablePeriod before a call or during it, or an upstream
// failed meanwhile.
func (h *history) nodeOrUpstreamDisturbed(r *callRecord) bool {
	node, known := h.nodeOf(r)
	return !known || h.anySpan(r.start.Add(-stablePeriod), r.end, func(s *span) bool {
		return s.disturbsNode(node) || s.cutsUpstreams(node) || s.failsRequests()
	})
}

// restartsAsOtherVersion returns, for half of the seeds, restarts of engines under their IDs as another version. It
// has numbers of its own, so that other steps don't depend on it.
func restartsAsOtherVersion(r *rand.Rand, length time.Duration) []Step {
	if r.IntN(2) == 0 {
		return nil
	}
	steps := make([]Step, 1+r.IntN(2))
	for i := range steps {
		steps[i] = Step{Kind: UpstreamChangesVersion, At: time.Duration(r.Int64N(int64(length))), Target: r.IntN(engineCount)}
	}
	return steps
}

// changeVersion restarts an engine as the other version, some time before its entry says so.
func (f *fleet) changeVersion(engine int) {
	f.changeFaults(engine, func(*standin.Faults) {
		version := secondVersion
		if f.versions[engine] == secondVersion {
			version = standin.FirstVersion
		}
		f.versions[engine] = version
		f.upstreams[engine].RestartAs(version) // clears all faults; those of other steps are set again
	})
}
