package check

import (
	"sort"
	"time"

	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

// FinalState is what a live node had in force at the end of a history.
type FinalState struct {
	Node        string
	Incarnation string
	Serving     bool
	Offset      uint64
	Lines       []budget.Line
	Version     uint64
	// Probe is the outcome of a final request by the rich account.
	Probe Outcome
}

// Record is everything that Check verifies. It is complete once a history has ended.
type Record struct {
	// Began is when the history began; spans are relative to it.
	Began       time.Time
	Chats       []ChatOp
	Calls       []CallOp
	Configs     []ConfigOp
	TopUps      []TopUpOp
	ConfigReads []ConfigRead

	Log         []fake.ArchivedRecord
	EngineRuns  []fake.EngineRun
	ServiceRuns []fake.ServiceRun
	Orders      []fake.EngineOrder
	// EngineOutages holds the periods in which engines were dead, Attempts the completions
	// that nodes tried to send to any engine.
	EngineOutages []fake.EngineOutage
	Attempts      []fake.Attempt
	// Leavings holds the periods in which upstreams were leaving, for each incarnation.
	Leavings []LeavingPeriod
	// EngineDiedAlone reports that the only fault was the death of an engine.
	EngineDiedAlone bool
	// Parts links requests to what peers reserved for them.
	Parts  []fake.Part
	Finals []FinalState
	// Killed maps incarnations whose process was killed to their addresses.
	Killed map[string]string
	// Drains holds the addresses of drained members and when they were drained.
	Drains  []DrainOp
	Events  []event.Event
	Dropped uint64
	// Stuck holds members that did not resume serving.
	Stuck []string
}

// DrainOp is one planned stop.
type DrainOp struct {
	Span
	Node string
	// Ended reports that the stop ran to completion, without a kill or a timeout.
	Ended bool
	// Alone reports that nothing else could interrupt a response meanwhile.
	Alone bool
}

// collect builds the record of a history that has ended.
func (h *Harness) collect() *Record {
	r := &Record{Began: h.began, Log: h.Archive.Records(), EngineRuns: h.Upstreams.Runs(), ServiceRuns: h.Upstreams.Calls(),
		Parts: h.Network.Parts(), Orders: h.Upstreams.Orders(),
		EngineOutages: h.Upstreams.Outages(), Attempts: h.Upstreams.Attempts()}
	h.History.mu.Lock()
	r.Chats, r.Calls, r.Configs = h.History.Chats, h.History.Calls, h.History.Configs
	r.TopUps, r.ConfigReads, r.Drains = h.History.TopUps, h.History.ConfigReads, h.History.Drains
	h.History.mu.Unlock()
	r.Killed = h.killedIncarnations()
	r.Leavings = h.leavingPeriods()
	for _, recorder := range h.recorders {
		events, dropped := recorder.Find("")
		r.Events = append(r.Events, events...)
		r.Dropped += dropped
	}
	sort.SliceStable(r.Events, func(i, j int) bool { return r.Events[i].Timestamp < r.Events[j].Timestamp })
	return r
}

// finals reads what every live node has in force.
func (h *Harness) finals(probes map[string]Outcome) []FinalState {
	var finals []FinalState
	for _, m := range h.Members {
		n := m.Node()
		final := FinalState{Node: m.Address(), Incarnation: n.Incarnation(), Serving: n.Serving() == nil,
			Offset: n.AppliedOffset(), Lines: n.Ledger().Budgets(), Probe: probes[m.Address()]}
		if current := resourceUnderTest(n.Config()); current != nil {
			final.Version = current.GetVersion()
		}
		finals = append(finals, final)
	}
	return finals
}
