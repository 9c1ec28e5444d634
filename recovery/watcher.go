package recovery

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
)

const (
	// driftPercent is how much longer than its right an incarnation is waited for:
	// far above the rate error of any working clock.
	driftPercent = 5
	// driftLeast is the least that is added to a right.
	driftLeast = 2 * time.Second
	// closeRepeat is the time after which a close that the log didn't take is asked again.
	closeRepeat = 30 * time.Second
	// logGrace is how long the log must have answered without a break before a node
	// counts as silent. After an outage longer than the right, all nodes would
	// otherwise close each other before their heartbeats come through.
	logGrace = time.Minute
)

// Watcher notes when this node folded each incarnation's last heartbeat. It is
// safe for concurrent use.
//
// The incarnation counts its right from before it appended the heartbeat, the
// watcher from after it folded it, so the watcher's term ends later even if the
// append or the read took hours. A watcher whose machine was suspended counts too
// little time, which is safe as well.
type Watcher struct {
	clock  clockwork.Clock
	ledger *budget.Ledger
	self   string
	// reachable tells whether the log answers.
	reachable func() bool

	mu    sync.Mutex
	heard map[string]heard
	// answering is since when the log answers without a break; zero when it doesn't.
	answering time.Time
}

type heard struct {
	number uint64
	// at is when the heartbeat was folded.
	at    time.Time
	asked time.Time
	// wrote is when the writer built its last batch, by its own wall clock.
	wrote time.Time
}

// NewWatcher returns a watcher for the node of an incarnation.
func NewWatcher(self string, clock clockwork.Clock, ledger *budget.Ledger, reachable func() bool) *Watcher {
	return &Watcher{self: self, clock: clock, ledger: ledger, reachable: reachable, heard: map[string]heard{}}
}

// Folded notes heartbeats; it must be called with each batch.
func (w *Watcher) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	h := w.heard[batch.GetWriter()]
	h.wrote = event.Stamp(batch.GetHlc()).Time()
	for i, verdict := range verdicts {
		if beat := batch.GetEntries()[i].GetHeartbeat(); beat != nil && verdict.OK() {
			h.number = beat.GetNumber()
			h.at = now
		}
	}
	w.heard[batch.GetWriter()] = h
}

// SinceLastBatch returns how long ago an incarnation built the last batch that the log
// holds of it, by the wall clocks. It is very long when this node never folded one.
func (w *Watcher) SinceLastBatch(incarnation string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.heard[incarnation].wrote)
}

// Due returns the closes to append now. The log refuses a close whose incarnation
// had a later heartbeat.
func (w *Watcher) Due() []*recordv1.IncarnationClose {
	incarnations := w.ledger.Incarnations()
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keep(incarnations)
	steady := w.steady(now)
	var due []*recordv1.IncarnationClose
	for id, i := range incarnations {
		if id == w.self || i.Closed {
			continue
		}
		h := w.heard[id]
		if h.number != i.Heartbeat {
			// Restored from a snapshot: the heartbeat was folded elsewhere, some time before.
			h.number, h.at = i.Heartbeat, now
		}
		if steady && now.Sub(h.at) > term(i.RightMS) && now.Sub(h.asked) > closeRepeat {
			h.asked = now
			due = append(due, &recordv1.IncarnationClose{Incarnation: id, LastHeartbeat: h.number, Reason: "silent beyond its right to spend"})
		}
		w.heard[id] = h
	}
	return due
}

// steady tells whether the log has answered for logGrace.
func (w *Watcher) steady(now time.Time) bool {
	if !w.reachable() {
		w.answering = time.Time{}
		return false
	}
	if w.answering.IsZero() {
		w.answering = now
	}
	return now.Sub(w.answering) >= logGrace
}

// term is how long an incarnation is waited for after its last heartbeat was folded.
func term(rightMS uint64) time.Duration {
	right := time.Duration(rightMS) * time.Millisecond
	return right + max(right*driftPercent/100, driftLeast)
}

func (w *Watcher) keep(incarnations map[string]budget.Incarnation) {
	for id := range w.heard {
		if _, known := incarnations[id]; !known {
			delete(w.heard, id)
		}
	}
}
