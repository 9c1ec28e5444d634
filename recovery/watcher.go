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
	// clockMarginPercent is the part of an incarnation's right to spend that is added as a
	// margin for clock drift. It is far above the rate error of any working clock.
	clockMarginPercent = 5
	// minClockMargin is the minimum of that margin.
	minClockMargin = 2 * time.Second
	// closeRetryInterval is the time after which a close that the log didn't accept is retried.
	closeRetryInterval = 30 * time.Second
	// logStabilityPeriod is how long the log must have been reachable without interruption
	// before a node counts as silent. After an outage longer than the right to spend, all
	// nodes would otherwise close each other before their heartbeats are written.
	logStabilityPeriod = time.Minute
)

// Watcher tracks when this node folded each incarnation's last heartbeat, and lists the
// silent incarnations to close. It is safe for concurrent use.
//
// An incarnation measures its right to spend from before it appends the heartbeat, the
// watcher from after folding it, so the watcher's delay ends later even if the append or
// the read took hours. A watcher whose machine was suspended measures too little time,
// which is safe as well.
type Watcher struct {
	clock  clockwork.Clock
	ledger *budget.Ledger
	self   string
	// logReachable reports whether the log answers.
	logReachable func() bool

	mu         sync.Mutex
	heartbeats map[string]heartbeatState
	// answeringSince is since when the log has answered without interruption, zero while it
	// doesn't answer.
	answeringSince time.Time
}

type heartbeatState struct {
	number uint64
	// foldedAt is when the heartbeat was folded.
	foldedAt         time.Time
	closeRequestedAt time.Time
	// lastBatchAt is when the writer built its last batch, by its own wall clock.
	lastBatchAt time.Time
}

// NewWatcher returns a Watcher for the node with incarnation self.
func NewWatcher(self string, clock clockwork.Clock, ledger *budget.Ledger, logReachable func() bool) *Watcher {
	return &Watcher{self: self, clock: clock, ledger: ledger, logReachable: logReachable, heartbeats: map[string]heartbeatState{}}
}

// HandleFolded records heartbeats; it must be called with each batch.
func (w *Watcher) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	h := w.heartbeats[batch.GetWriter()]
	h.lastBatchAt = event.Timestamp(batch.GetHlc()).Time()
	for i, verdict := range verdicts {
		if beat := batch.GetEntries()[i].GetHeartbeat(); beat != nil && verdict.OK() {
			h.number = beat.GetNumber()
			h.foldedAt = now
		}
	}
	w.heartbeats[batch.GetWriter()] = h
}

// SinceLastBatch returns how long ago, by the wall clocks, an incarnation built its last
// batch in the log. It is very long if this node never folded one.
func (w *Watcher) SinceLastBatch(incarnation string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Sub(w.heartbeats[incarnation].lastBatchAt)
}

// Due returns the closes to append now. The log rejects a close whose incarnation has a
// later heartbeat.
func (w *Watcher) Due() []*recordv1.IncarnationClose {
	incarnations := w.ledger.Incarnations()
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prune(incarnations)
	logStable := w.logStable(now)
	var due []*recordv1.IncarnationClose
	for id, i := range incarnations {
		if id == w.self || i.Closed {
			continue
		}
		h := w.heartbeats[id]
		if h.number != i.Heartbeat {
			// Restored from a snapshot: the heartbeat was folded on another node, earlier.
			h.number, h.foldedAt = i.Heartbeat, now
		}
		if logStable && now.Sub(h.foldedAt) > closeDelay(i.RightMS) && now.Sub(h.closeRequestedAt) > closeRetryInterval {
			h.closeRequestedAt = now
			due = append(due, &recordv1.IncarnationClose{Incarnation: id, LastHeartbeat: h.number, Reason: "silent beyond its right to spend"})
		}
		w.heartbeats[id] = h
	}
	return due
}

// logStable reports whether the log has answered for logStabilityPeriod.
func (w *Watcher) logStable(now time.Time) bool {
	if !w.logReachable() {
		w.answeringSince = time.Time{}
		return false
	}
	if w.answeringSince.IsZero() {
		w.answeringSince = now
	}
	return now.Sub(w.answeringSince) >= logStabilityPeriod
}

// closeDelay returns how long after its last folded heartbeat an incarnation is closed.
func closeDelay(rightMS uint64) time.Duration {
	right := time.Duration(rightMS) * time.Millisecond
	return right + max(right*clockMarginPercent/100, minClockMargin)
}

func (w *Watcher) prune(incarnations map[string]budget.Incarnation) {
	for id := range w.heartbeats {
		if _, known := incarnations[id]; !known {
			delete(w.heartbeats, id)
		}
	}
}
