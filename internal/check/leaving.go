package check

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
)

const (
	// leavingGrace is how long after the change is in force on a node it may still send
	// new work to an upstream that leaves.
	leavingGrace = 2 * time.Second
	leavingLasts = 20 * time.Second
)

// LeavingPeriod is the span within which one incarnation had it in force that an upstream
// leaves: from when it had folded the change, not from when it says that it heeds it.
type LeavingPeriod struct {
	Upstream    string
	Incarnation string
	From        time.Time
	// Until is when operators asked to take it back; zero before.
	Until time.Time
}

// leave declares that the first engine leaves, and notes when each node folds it.
func (h *Harness) leave() {
	version := h.setLeaving(true)
	if version == 0 {
		return
	}
	for h.isLeaving() {
		for _, m := range h.Members {
			if m.Live() && m.Node().AppliedOffset() >= version {
				h.noteLeaving(m.Node().Incarnation())
			}
		}
		h.clock.Sleep(poll)
	}
}

func (h *Harness) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stayed
}

func (h *Harness) noteLeaving(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, op := range h.leavings {
		if op.Incarnation == incarnation {
			return
		}
	}
	h.leavings = append(h.leavings, LeavingPeriod{Upstream: engineName(0, 0), Incarnation: incarnation, From: h.clock.Now()})
}

func (h *Harness) leavingOps() []LeavingPeriod {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]LeavingPeriod(nil), h.leavings...)
}

// stay takes the leaving back.
func (h *Harness) stay() {
	h.mu.Lock()
	h.stayed = true
	for i := range h.leavings {
		h.leavings[i].Until = h.clock.Now()
	}
	h.mu.Unlock()
	h.setLeaving(false)
}

// setLeaving returns the change's version; 0 when it wasn't accepted.
func (h *Harness) setLeaving(leaving bool) uint64 {
	m := h.Members[0]
	version := make(chan uint64, 1)
	engine := upstreamIn(RegionHome, engineName(0, 0), engineService, leaving)
	engine.GetUpstream().ChecksFencing = true
	outcome, _ := h.ask(m, m.Gate(), func(ctx context.Context) error {
		answer, err := m.operator.Apply(operatorContext(ctx), &operatorv1.ApplyRequest{ChangeId: "leaving-" + h.nextChange(),
			Changes: []*operatorv1.Change{{AnyVersion: true, Resource: engine}}})
		version <- answer.GetVersion()
		return err
	})
	if !outcome.OK() {
		return 0
	}
	return <-version
}

// leavings checks that no new work reaches an upstream that leaves: it would be cut when
// the upstream goes, or keep it from going.
func (j *judge) leavings() {
	for _, op := range j.record.Leavings {
		for _, run := range j.record.EngineRuns {
			id, ok := budget.ParseRequestID(run.Request)
			late := run.Start.After(op.From.Add(leavingGrace)) && (op.Until.IsZero() || run.Start.Before(op.Until))
			if ok && id.Incarnation == op.Incarnation && run.Upstream == op.Upstream && late {
				j.fault(NoWorkForLeaving, []string{run.Request}, "%s was sent to %s %s after %s had it in force that it leaves",
					run.Request, run.Upstream, run.Start.Sub(op.From), op.Incarnation)
			}
		}
	}
}
