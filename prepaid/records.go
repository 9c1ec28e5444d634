package prepaid

// Report is a node's report of its incarnation's use. A later report of the same incarnation
// replaces an earlier one.
type Report struct {
	Node        string `json:"n,omitempty"`
	Incarnation string `json:"i,omitempty"`
	// Region is the node's region.
	Region string `json:"r,omitempty"`
	// Capacity is the capacity of the node's instance, in hundredths of a usual one.
	Capacity int `json:"ca,omitempty"`
	// Listed reports that callers are sent to the node.
	Listed bool `json:"li,omitempty"`
	// SentTimeMs is the instance's wall-clock time when the report was made, in Unix
	// milliseconds.
	SentTimeMs int64 `json:"stm,omitempty"`
	// StartBootMs and StartTimeMs are the instance's boot clock and wall clock, in
	// milliseconds, from which the limits of Lines grow. LimitTTLMs later only the ceilings
	// bind the incarnation.
	StartBootMs int64 `json:"fm,omitempty"`
	StartTimeMs int64 `json:"ftm,omitempty"`
	LimitTTLMs  int64 `json:"oam,omitempty"`
	// BootID identifies the instance's boot; boot clock values are comparable within one boot
	// only.
	BootID string `json:"bid,omitempty"`
	// ClockLeadsMs is how far the wall clocks of other nodes were lately seen ahead of this
	// instance's, in milliseconds by node.
	ClockLeadsMs map[string]int64 `json:"cl,omitempty"`
	// AppliedEpoch is the epoch of the newest grant that the incarnation applied.
	AppliedEpoch uint64 `json:"se,omitempty"`
	// Ended is set once the incarnation will use nothing more.
	Ended bool         `json:"e,omitempty"`
	Lines []ReportLine `json:"l,omitempty"`
	// Predecessors are the earlier incarnations of the node, until a grant shows that they are
	// closed.
	Predecessors []FinalUsage `json:"p,omitempty"`
}

// ReportLine is one account's part of a report, in tokens.
type ReportLine struct {
	Account string `json:"a,omitempty"`
	// Spent is settled use, Reserved the most that open requests may still add.
	Spent    int64 `json:"s,omitempty"`
	Reserved int64 `json:"h,omitempty"`
	// InitialLimit is the limit on Spent plus Reserved before the limits begin to grow, Growth
	// what it grows by each second.
	InitialLimit int64 `json:"d,omitempty"`
	Growth       int64 `json:"p,omitempty"`
	// Ceiling is the incarnation's permanent limit.
	Ceiling int64 `json:"c,omitempty"`
	// DemandRate is the recent demand in tokens per second, including refused requests.
	DemandRate int64 `json:"r,omitempty"`
	// DemandBySize is the demand of this node's own callers by size class.
	DemandBySize []int64 `json:"z,omitempty"`
}

// FinalUsage bounds what an ended incarnation may have used.
type FinalUsage struct {
	Incarnation string `json:"i,omitempty"`
	// Bounded reports whether Lines bound its use; otherwise its whole ceilings count as used.
	Bounded bool             `json:"k,omitempty"`
	Lines   []FinalUsageLine `json:"l,omitempty"`
}

// FinalUsageLine bounds one account's use by an ended incarnation, in tokens. An account
// without a line wasn't used.
type FinalUsageLine struct {
	Account string `json:"a,omitempty"`
	Used    int64  `json:"u,omitempty"`
	// Spent, Reported and ByClock are for logs: settled use and all use in its last report, and the
	// most that it may have used if no clock was set back.
	Spent    int64 `json:"s,omitempty"`
	Reported int64 `json:"r,omitempty"`
	ByClock  int64 `json:"b,omitempty"`
}

// Grant sets the ceilings of one incarnation. A grant of a higher epoch replaces one of a lower
// epoch.
type Grant struct {
	Node        string      `json:"n,omitempty"`
	Incarnation string      `json:"i,omitempty"`
	Epoch       uint64      `json:"e,omitempty"`
	Lines       []GrantLine `json:"l,omitempty"`
}

// GrantLine is one account's part of a grant, in tokens.
type GrantLine struct {
	Account string `json:"a,omitempty"`
	Ceiling int64  `json:"c,omitempty"`
	// Unused is what the node hadn't used of its ceiling by its last report. Borrowers prefer
	// lenders that have the most.
	Unused int64 `json:"r,omitempty"`
	// Remaining is an upper bound of what all nodes together could still use when the account's
	// prepaid total was Prepaid: settled use is subtracted, open requests are not.
	Remaining int64 `json:"l,omitempty"`
	Prepaid   int64 `json:"p,omitempty"`
	// MaxRequest is the largest request that is admitted at present; zero if all are. What is left
	// is kept for smaller ones.
	MaxRequest int64 `json:"m,omitempty"`
}

// Ledger is the allocator's state. It is written before the grants that follow from it, so that
// a later allocator never counts less than was granted.
type Ledger struct {
	Epoch    uint64          `json:"e,omitempty"`
	Nodes    []LedgerNode    `json:"n,omitempty"`
	Accounts []LedgerAccount `json:"a,omitempty"`
}

// LedgerNode is an incarnation that holds ceilings.
type LedgerNode struct {
	Node        string `json:"n,omitempty"`
	Incarnation string `json:"i,omitempty"`
	// GrantEpoch is the epoch of the newest grant planned for it.
	GrantEpoch uint64 `json:"ge,omitempty"`
}

// LedgerAccount is the allocation state of one account, in tokens.
type LedgerAccount struct {
	Account string `json:"a,omitempty"`
	// Closed is what ended incarnations may have used.
	Closed int64 `json:"c,omitempty"`
	// MaxRequest is the largest request that is admitted, as last announced; zero if all are.
	MaxRequest int64         `json:"m,omitempty"`
	Entries    []LedgerEntry `json:"e,omitempty"`
}

// LedgerEntry is one incarnation's allocation of one account, in tokens.
type LedgerEntry struct {
	// Node is an index into Ledger.Nodes.
	Node int `json:"n,omitempty"`
	// Target is the last granted ceiling; Committed is the most that the incarnation may use,
	// which stays higher until it has confirmed a lower ceiling.
	Target    int64 `json:"t,omitempty"`
	Committed int64 `json:"c,omitempty"`
}
