package check

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
)

const (
	// leavingGrace is how long after applying the change a node may still send new work to a
	// leaving upstream.
	leavingGrace    = 2 * time.Second
	leavingDuration = 20 * time.Second
)

// LeavingPeriod is the period in which an upstream was leaving according to the configuration
// in force on one incarnation. It starts when the node has folded the change, not when the node
// reports that it acts on it.
type LeavingPeriod struct {
	Upstream    string
	Incarnation string
	From        time.Time
	// Until is when operators asked to cancel the leaving; zero before that.
	Until time.Time
}

// startLeaving declares that the first engine leaves and records when each node folds the
// change.
func (h *Harness) startLeaving() {
	version := h.setLeaving(true)
	if version == 0 {
		return
	}
	for h.isLeaving() {
		for _, m := range h.Members {
			if m.Live() && m.Node().AppliedOffset() >= version {
				h.recordLeaving(m.Node().Incarnation())
			}
		}
		h.clock.Sleep(pollInterval)
	}
}

func (h *Harness) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leavingCanceled
}

func (h *Harness) recordLeaving(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, op := range h.leavings {
		if op.Incarnation == incarnation {
			return
		}
	}
	h.leavings = append(h.leavings, LeavingPeriod{Upstream: engineName(0, 0), Incarnation: incarnation, From: h.clock.Now()})
}

func (h *Harness) leavingPeriods() []LeavingPeriod {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]LeavingPeriod(nil), h.leavings...)
}

// cancelLeaving declares that the engine stays.
func (h *Harness) cancelLeaving() {
	h.mu.Lock()
	h.leavingCanceled = true
	for i := range h.leavings {
		h.leavings[i].Until = h.clock.Now()
	}
	h.mu.Unlock()
	h.setLeaving(false)
}

// setLeaving returns the version of the change, or 0 if it was not accepted.
func (h *Harness) setLeaving(leaving bool) uint64 {
	m := h.Members[0]
	version := make(chan uint64, 1)
	engine := upstreamResource(RegionHome, engineName(0, 0), engineService, leaving)
	engine.GetUpstream().ChecksFencing = true
	outcome, _ := h.invoke(m, m.Gate(), func(ctx context.Context) error {
		response, err := m.operator.Apply(operatorContext(ctx), &operatorv1.ApplyRequest{ChangeId: "leaving-" + h.nextChangeID(),
			Changes: []*operatorv1.Change{{AnyVersion: true, Resource: engine}}})
		version <- response.GetVersion()
		return err
	})
	if !outcome.OK() {
		return 0
	}
	return <-version
}

// checkLeavings checks that no new work reaches a leaving upstream: it would be cut off when
// the upstream goes, or keep it from going.
func (c *checker) checkLeavings() {
	for _, op := range c.record.Leavings {
		for _, run := range c.record.EngineRuns {
			id, ok := budget.ParseRequestID(run.Request)
			late := run.Start.After(op.From.Add(leavingGrace)) && (op.Until.IsZero() || run.Start.Before(op.Until))
			if ok && id.Incarnation == op.Incarnation && run.Upstream == op.Upstream && late {
				c.report(NoWorkForLeaving, []string{run.Request}, "request %s was sent to leaving upstream %s %s after %s applied the change",
					run.Request, run.Upstream, run.Start.Sub(op.From), op.Incarnation)
			}
		}
	}
}
