package capacity

import (
	"time"

	"lavenderpin.dev/lavenderpin/gather"
)

// Role is the cost of one part of a node's work at a given size, computed from slopes.
type Role struct {
	Name string `json:"name"`
	// CorePercent is CPU time, in percent of one core.
	CorePercent  float64 `json:"core_percent"`
	MemoryMB     float64 `json:"memory_mb"`
	BytesASecond float64 `json:"bytes_a_second"`
	// AppendsASecond is the rate of log appends of the whole fleet.
	AppendsASecond float64 `json:"appends_a_second"`
	Computed       string  `json:"computed"`
}

const (
	megabyte       = 1 << 20
	secondsPerDay  = 24 * 60 * 60
	nanosPerSecond = 1e9
	percentFactor  = 100
	// openSettlementSeconds is how long a settlement stays above the oldest open counter: half
	// a flush and a slow answer.
	openSettlementSeconds = 0.4
	// maxHeartbeatsPerSecond is the maximum rate at which the whole fleet writes heartbeats.
	maxHeartbeatsPerSecond = 4
	partitions             = 64
	// partitionsPerNode is the number of partitions that a node folds if it folds only those of
	// the budgets it holds.
	partitionsPerNode = 4
	// cumulativeReportBytes is the size of one share's total in a report: a budget name and a
	// number.
	cumulativeReportBytes     = 40
	cumulativeIntervalSeconds = 5.0
)

func corePercent(nanosPerOp, rate float64) float64 {
	return nanosPerOp * rate / nanosPerSecond * percentFactor
}

// packedFoldNanos returns the time, in ns, to fold one settlement of a gathered and packed
// record.
func packedFoldNanos(slope func(string) float64) float64 {
	return slope("fold per settlement") + slope("decode per settlement, gathered") - slope("decode per settlement, gathered and not packed")
}

// roles computes the cost of every node with the current code, where each node folds
// everything.
func roles(size Size, slope func(string) float64) []Role {
	nodes, rate := float64(size.Nodes), size.RequestsPerSecond
	ownRate := rate / nodes
	heartbeats := min(nodes/size.Heartbeat.Seconds(), maxHeartbeatsPerSecond)
	changes := size.ChangesPerDay / secondsPerDay
	resources := float64(size.Accounts + size.Budgets + size.Engines + size.Models)
	snapshot := (float64(size.Budgets)*slope("snapshot bytes per budget") + resources*slope("config snapshot bytes per resource")) / megabyte
	return []Role{
		{Name: "entry path", CorePercent: corePercent(slope("reserve and finish")+slope("account by key")+4*slope("event recorded"), ownRate),
			Computed: "own requests × (reserve and finish + account by key + 4 events); HTTP and the answer itself are work for callers, not control"},
		{Name: "budget holder", MemoryMB: float64(size.HeldBudgets) * slope("holder memory per budget held") / megabyte,
			Computed: "1,500 budgets held (assumed)"},
		{Name: "ledger fold: settlements", CorePercent: corePercent(packedFoldNanos(slope), rate),
			BytesASecond: rate * slope("log bytes per settlement, gathered"),
			MemoryMB:     rate * openSettlementSeconds * slope("ledger memory per open settlement") / megabyte,
			Computed:     "every node folds every settlement, gathered and packed"},
		{Name: "ledger fold: budgets", MemoryMB: float64(size.Budgets) * slope("ledger memory per budget") / megabyte,
			Computed: "all budgets × memory per budget"},
		{Name: "ledger fold: shares", MemoryMB: nodes * float64(size.HeldBudgets) * slope("ledger memory per share") / megabyte,
			Computed: "380 nodes × 1,500 shares, in every node's ledger"},
		{Name: "ledger fold: heartbeats", CorePercent: corePercent(slope("fold per heartbeat"), heartbeats),
			BytesASecond: heartbeats * slope("log bytes per heartbeat"), MemoryMB: nodes * slope("ledger memory per incarnation") / megabyte,
			Computed: "a heartbeat a node every 5 s, at most four a second in the fleet, folded by every node"},
		{Name: "configuration", CorePercent: corePercent(slope("one change at full size"), changes), BytesASecond: changes * slope("log bytes per change"),
			MemoryMB: (float64(size.Accounts)*slope("config memory per account") + float64(size.Budgets)*slope("config memory per budget") +
				float64(size.Engines)*slope("config memory per upstream")) / megabyte,
			Computed: "all resources in every node; 3,300 changes a day"},
		{Name: "membership", BytesASecond: 4 / size.Ping.Seconds() * slope("ping"),
			Computed: "a ping a second to one neighbour in turn and one from another, each answered; no news"},
		{Name: "membership, with news all the time", BytesASecond: 4 / size.Ping.Seconds() * slope("ping with news"),
			Computed: "the same with nine views in each"},
		{Name: "settlement writer, each for itself", AppendsASecond: nodes * min(1/size.Flush.Seconds(), ownRate),
			Computed: "one append a node every 200 ms"},
		{Name: "settlement writer, gathered", AppendsASecond: float64(size.DataCentres) / gather.DefaultPolicy().AppendInterval.Seconds(),
			CorePercent:  corePercent(slope("pack per settlement"), rate/float64(size.DataCentres)),
			BytesASecond: rate / float64(size.DataCentres) * (slope("log bytes per settlement") + slope("log bytes per settlement, gathered")),
			Computed:     "at most one append a data centre every 100 ms; core and bytes are the gatherer's, which takes 24 nodes' batches as they are"},
		{Name: "snapshot writer", BytesASecond: snapshot * megabyte / time.Hour.Seconds() * slope("sealed snapshot bytes per budget") / slope("snapshot bytes per budget"), MemoryMB: snapshot,
			CorePercent: corePercent(float64(size.Budgets)*(slope("snapshot per budget")+slope("seal per budget")), 1/time.Hour.Seconds()),
			Computed:    "one snapshot an hour, sealed at the ledger's ratio; memory is one uncompressed copy; every node that follows the log reads it too"},
		{Name: "witness", BytesASecond: ownRate * 2 * (slope("witness exchange, bytes per request") + 2*slope("witness exchange, messages per request")*transportOverhead),
			MemoryMB: ownRate * openSettlementSeconds * slope("witness memory per request") / megabyte, CorePercent: corePercent(slope("witness exchange, time per request"), ownRate),
			Computed: "each own request reported to one other node and one received from another, 60 B a message and an answer for transport"},
		{Name: "log out for an hour", MemoryMB: ownRate * time.Hour.Seconds() * (slope("memory per settlement in an outage") + slope("witness memory per request")) / megabyte,
			Computed: "own settlements that wait, held by the replicator too, and another node's at its witness"},
		{Name: "recovery", CorePercent: corePercent(slope("fold per settlement")*ownRate*openSettlementSeconds+slope("RecoveryDone"), (size.FailuresPerDay+size.RestartsPerDay)/secondsPerDay),
			Computed: "52 failures and 250 restarts a day × (requests open on a node, and the walk over all budgets)"},
		{Name: "time line", MemoryMB: eventRingSize * slope("event memory") / megabyte, CorePercent: corePercent(4*slope("event recorded"), ownRate),
			Computed: "a ring of 20,000 events, four events a request"},
		{Name: "next: cumulative settlements, partitioned", BytesASecond: nodes * float64(activeBudgets) * cumulativeReportBytes / cumulativeIntervalSeconds / partitions * partitionsPerNode,
			MemoryMB: float64(size.Budgets) / partitions * partitionsPerNode * slope("ledger memory per budget") / megabyte,
			Computed: "each node reports one total a budget in use (40, assumed) every 5 s; a node folds 4 of 64 partitions"},
	}
}

const (
	eventRingSize = 20_000
	activeBudgets = 40
)
