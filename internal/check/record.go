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
	// Probe is the answer to a last request of the rich account.
	Probe Outcome
}

// Record is everything that Check judges. It is complete once a history has ended.
type Record struct {
	// Began is when the history began; spans count from it.
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
	// EngineDeaths are spans in which engines were gone, Attempts the completions that
	// nodes tried to send to any engine.
	EngineDeaths []fake.EngineOutage
	Attempts     []fake.Attempt
	// Leavings are spans in which nodes had it in force that an upstream leaves.
	Leavings []LeavingPeriod
	// EngineDiedAlone tells that nothing went wrong but an engine's death.
	EngineDiedAlone bool
	// Parts links requests to what peers reserved for them.
	Parts  []fake.Part
	Finals []FinalState
	// Killed holds incarnations whose process was killed, and their addresses.
	Killed map[string]string
	// Drains holds the addresses of members that were drained, with when.
	Drains  []DrainOp
	Events  []event.Event
	Dropped uint64
	// Stuck holds members that could not be brought back to serving.
	Stuck []string
}

// DrainOp is one planned stop.
type DrainOp struct {
	Span
	Node string
	// Ended tells that the stop ran to its end, without a kill or its time limit.
	Ended bool
	// Alone tells that nothing else could cut an answer meanwhile.
	Alone bool
}

// collect takes the record of a history that has ended.
func (h *Harness) collect() *Record {
	r := &Record{Began: h.began, Log: h.Archive.Records(), EngineRuns: h.Upstreams.Runs(), ServiceRuns: h.Upstreams.Calls(),
		Parts: h.Network.Parts(), Orders: h.Upstreams.Orders(),
		EngineDeaths: h.Upstreams.Outages(), Attempts: h.Upstreams.Attempts()}
	h.History.mu.Lock()
	r.Chats, r.Calls, r.Configs = h.History.Chats, h.History.Calls, h.History.Configs
	r.TopUps, r.ConfigReads, r.Drains = h.History.TopUps, h.History.ConfigReads, h.History.Drains
	h.History.mu.Unlock()
	r.Killed = h.killedNodes()
	r.Leavings = h.leavingOps()
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
		if held := underTest(n.Config()); held != nil {
			final.Version = held.GetVersion()
		}
		finals = append(finals, final)
	}
	return finals
}
