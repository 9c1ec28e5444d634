package capacity

import (
	"time"

	"lavenderpin.dev/lavenderpin/gather"
)

// Role is what one part of a node's work costs at a size, computed from slopes.
type Role struct {
	Name string `json:"name"`
	// CorePercent is processor time, in per cent of one core.
	CorePercent  float64 `json:"core_percent"`
	MemoryMB     float64 `json:"memory_mb"`
	BytesASecond float64 `json:"bytes_a_second"`
	// AppendsASecond is of the whole fleet.
	AppendsASecond float64 `json:"appends_a_second"`
	Computed       string  `json:"computed"`
}

const (
	megabyte    = 1 << 20
	daySeconds  = 24 * 60 * 60
	nanosASec   = 1e9
	percent     = 100
	openSeconds = 0.4 // settlements above the oldest open counter: half a flush and a slow answer
	// mostBeats is how many heartbeats a second the whole fleet writes at most.
	mostBeats  = 4
	partitions = 64
	// partitionsHeld is how many a node folds when it folds only those of budgets it holds.
	partitionsHeld = 4
	// cumulativeBytes is one share's total in one report: budget name and a number.
	cumulativeBytes = 40
	cumulativeEvery = 5.0
)

func perSecond(nanos, rate float64) float64 { return nanos * rate / nanosASec * percent }

// foldPacked is what one settlement of a gathered and packed record costs to fold, in ns.
func foldPacked(s func(string) float64) float64 {
	return s("fold per settlement") + s("decode per settlement, gathered") - s("decode per settlement, gathered and not packed")
}

// roles computes every node's cost as the code stands: each node folds everything.
func roles(size Size, s func(string) float64) []Role {
	nodes, rate := float64(size.Nodes), size.RequestsPerSecond
	own := rate / nodes
	beats := min(nodes/size.Heartbeat.Seconds(), mostBeats)
	changes := size.ChangesPerDay / daySeconds
	resources := float64(size.Accounts + size.Budgets + size.Engines + size.Models)
	snapshot := (float64(size.Budgets)*s("snapshot bytes per budget") + resources*s("config snapshot bytes per resource")) / megabyte
	return []Role{
		{Name: "entry path", CorePercent: perSecond(s("reserve and finish")+s("account by key")+4*s("event recorded"), own),
			Computed: "own requests × (reserve and finish + account by key + 4 events); HTTP and the answer itself are work for callers, not control"},
		{Name: "budget holder", MemoryMB: float64(size.HeldBudgets) * s("holder memory per budget held") / megabyte,
			Computed: "1,500 budgets held (assumed)"},
		{Name: "ledger fold: settlements", CorePercent: perSecond(foldPacked(s), rate),
			BytesASecond: rate * s("log bytes per settlement, gathered"),
			MemoryMB:     rate * openSeconds * s("ledger memory per open settlement") / megabyte,
			Computed:     "every node folds every settlement, gathered and packed"},
		{Name: "ledger fold: budgets", MemoryMB: float64(size.Budgets) * s("ledger memory per budget") / megabyte,
			Computed: "all budgets × memory per budget"},
		{Name: "ledger fold: shares", MemoryMB: nodes * float64(size.HeldBudgets) * s("ledger memory per share") / megabyte,
			Computed: "380 nodes × 1,500 shares, in every node's ledger"},
		{Name: "ledger fold: heartbeats", CorePercent: perSecond(s("fold per heartbeat"), beats),
			BytesASecond: beats * s("log bytes per heartbeat"), MemoryMB: nodes * s("ledger memory per incarnation") / megabyte,
			Computed: "a heartbeat a node every 5 s, at most four a second in the fleet, folded by every node"},
		{Name: "configuration", CorePercent: perSecond(s("one change at full size"), changes), BytesASecond: changes * s("log bytes per change"),
			MemoryMB: (float64(size.Accounts)*s("config memory per account") + float64(size.Budgets)*s("config memory per budget") +
				float64(size.Engines)*s("config memory per upstream")) / megabyte,
			Computed: "all resources in every node; 3,300 changes a day"},
		{Name: "membership", BytesASecond: 4 / size.Ping.Seconds() * s("ping"),
			Computed: "a ping a second to one neighbour in turn and one from another, each answered; no news"},
		{Name: "membership, with news all the time", BytesASecond: 4 / size.Ping.Seconds() * s("ping with news"),
			Computed: "the same with nine views in each"},
		{Name: "settlement writer, each for itself", AppendsASecond: nodes * min(1/size.Flush.Seconds(), own),
			Computed: "one append a node every 200 ms"},
		{Name: "settlement writer, gathered", AppendsASecond: float64(size.DataCentres) / gather.DefaultPolicy().AppendInterval.Seconds(),
			CorePercent:  perSecond(s("pack per settlement"), rate/float64(size.DataCentres)),
			BytesASecond: rate / float64(size.DataCentres) * (s("log bytes per settlement") + s("log bytes per settlement, gathered")),
			Computed:     "at most one append a data centre every 100 ms; core and bytes are the gatherer's, which takes 24 nodes' batches as they are"},
		{Name: "snapshot writer", BytesASecond: snapshot * megabyte / time.Hour.Seconds() * s("sealed snapshot bytes per budget") / s("snapshot bytes per budget"), MemoryMB: snapshot,
			CorePercent: perSecond(float64(size.Budgets)*(s("snapshot per budget")+s("seal per budget")), 1/time.Hour.Seconds()),
			Computed:    "one snapshot an hour, sealed at the ledger's ratio; memory is one uncompressed copy; every node that follows the log reads it too"},
		{Name: "witness", BytesASecond: own * 2 * (s("witness exchange, bytes per request") + 2*s("witness exchange, messages per request")*quicOverhead),
			MemoryMB: own * openSeconds * s("witness memory per request") / megabyte, CorePercent: perSecond(s("witness exchange, time per request"), own),
			Computed: "each own request told to one other node and one heard from another, 60 B a message and an answer for transport"},
		{Name: "log out for an hour", MemoryMB: own * time.Hour.Seconds() * (s("memory per settlement in an outage") + s("witness memory per request")) / megabyte,
			Computed: "own settlements that wait, kept by the teller too, and another node's at its witness"},
		{Name: "recovery", CorePercent: perSecond(s("fold per settlement")*own*openSeconds+s("RecoveryDone"), (size.FailuresPerDay+size.RestartsPerDay)/daySeconds),
			Computed: "52 failures and 250 restarts a day × (requests open on a node, and the walk over all budgets)"},
		{Name: "time line", MemoryMB: eventRing * s("event memory") / megabyte, CorePercent: perSecond(4*s("event recorded"), own),
			Computed: "a ring of 20,000 events, four events a request"},
		{Name: "next: cumulative settlements, partitioned", BytesASecond: nodes * float64(activeBudgets) * cumulativeBytes / cumulativeEvery / partitions * partitionsHeld,
			MemoryMB: float64(size.Budgets) / partitions * partitionsHeld * s("ledger memory per budget") / megabyte,
			Computed: "each node reports one total a budget in use (40, assumed) every 5 s; a node folds 4 of 64 partitions"},
	}
}

const (
	eventRing     = 20_000
	activeBudgets = 40
)
