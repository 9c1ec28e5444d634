package reach

import "sync/atomic"

// Metrics are a dialer's counters.
type Metrics struct {
	lost, failed, restored        atomic.Int64
	relayedDials, tests           atomic.Int64
	awaited, awaitedInVain        atomic.Int64
	isolated                      atomic.Int64
	opened, openNow, refusedOpens atomic.Int64
}

func (m *Metrics) countChange(mode Mode) {
	switch mode {
	case Direct:
		m.restored.Add(1)
	case Relayed:
		m.lost.Add(1)
	case Unreachable:
		m.failed.Add(1)
	}
}

// Values are the counters at one time.
type Values struct {
	// Lost, Failed and Restored count changes of paths: to another node's, to none, to direct.
	Lost     int64 `json:"lost"`
	Failed   int64 `json:"failed"`
	Restored int64 `json:"restored"`
	// RelayedDials counts the connections opened through other nodes, Tests the tests of paths.
	RelayedDials int64 `json:"relayed_dials"`
	Tests        int64 `json:"tests"`
	// Awaited counts the requests that waited until an upstream could be reached again, AwaitedInVain those
	// of them for which none was.
	Awaited       int64 `json:"awaited"`
	AwaitedInVain int64 `json:"awaited_in_vain"`
	// Isolated counts the attempts to connect that timed out while no other node answered either.
	Isolated int64 `json:"isolated"`
	// OpenedForOthers counts the connections opened for other nodes, OpenForOthers those open now,
	// RefusedToOthers those that this node couldn't or wouldn't open.
	OpenedForOthers int64 `json:"opened_for_others"`
	OpenForOthers   int64 `json:"open_for_others"`
	RefusedToOthers int64 `json:"refused_to_others"`
}

// Values returns the counters.
func (m *Metrics) Values() Values {
	return Values{Lost: m.lost.Load(), Failed: m.failed.Load(), Restored: m.restored.Load(),
		RelayedDials: m.relayedDials.Load(), Tests: m.tests.Load(),
		Awaited: m.awaited.Load(), AwaitedInVain: m.awaitedInVain.Load(), Isolated: m.isolated.Load(),
		OpenedForOthers: m.opened.Load(), OpenForOthers: m.openNow.Load(), RefusedToOthers: m.refusedOpens.Load()}
}
