package prepaid

// Report is what a node tells about its incarnation's use. A later report of the same
// incarnation replaces an earlier one.
type Report struct {
	Node        string `json:"n,omitempty"`
	Incarnation string `json:"i,omitempty"`
	// Region is where the node stands.
	Region string `json:"r,omitempty"`
	// Capacity is what the node's instance can carry, in hundredths of a usual one.
	Capacity int `json:"ca,omitempty"`
	// SentTimeMs is the instance's time of day when the report was made, in Unix
	// milliseconds.
	SentTimeMs int64 `json:"stm,omitempty"`
	// StartBootMs and FromTimeMs are the instance's boot clock and time of day, in
	// milliseconds, from which the limits of Lines grow. OpensAfterMs later the
	// incarnation is bound by its ceilings alone.
	StartBootMs int64 `json:"fm,omitempty"`
	StartTimeMs int64 `json:"ftm,omitempty"`
	LimitTTLMs  int64 `json:"oam,omitempty"`
	// BootID names the instance's boot; a boot clock is comparable within one boot only.
	BootID string `json:"bid,omitempty"`
	// AppliedEpoch is the epoch of the newest grant that the incarnation applied.
	AppliedEpoch uint64 `json:"se,omitempty"`
	// Ended tells that the incarnation uses nothing any more.
	Ended bool         `json:"e,omitempty"`
	Lines []ReportLine `json:"l,omitempty"`
	// Predecessors are the earlier incarnations of the node, until a grant shows that
	// they are closed.
	Predecessors []FinalUsage `json:"p,omitempty"`
}

// ReportLine is one account's part of a report, in tokens.
type ReportLine struct {
	Account string `json:"a,omitempty"`
	// Spent is settled use, Held the most that open requests may still add.
	Spent    int64 `json:"s,omitempty"`
	Reserved int64 `json:"h,omitempty"`
	// InitialLimit is the limit on Spent plus Held when the limits begin to grow, Pace what it
	// grows by each second.
	InitialLimit int64 `json:"d,omitempty"`
	Growth       int64 `json:"p,omitempty"`
	// Ceiling is the limit that the incarnation holds itself to for good.
	Ceiling int64 `json:"c,omitempty"`
	// DemandRate is the recent demand in tokens a second, refused requests included.
	DemandRate int64 `json:"r,omitempty"`
}

// FinalUsage tells what an ended incarnation may have used at most.
type FinalUsage struct {
	Incarnation string `json:"i,omitempty"`
	// Bounded tells that Lines bound its use; otherwise its whole ceilings count as used.
	Bounded bool             `json:"k,omitempty"`
	Lines   []FinalUsageLine `json:"l,omitempty"`
}

// FinalUsageLine bounds one account's use by an ended incarnation, in tokens. An account
// without a line wasn't used.
type FinalUsageLine struct {
	Account string `json:"a,omitempty"`
	Used    int64  `json:"u,omitempty"`
	// Reported is what it reported last as used and held, for logs.
	Reported int64 `json:"r,omitempty"`
}

// Grant sets the ceilings of one incarnation. A grant of a higher epoch replaces one of
// a lower epoch.
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
	// Unused is what the node hadn't used of its ceiling by its last report: whoever looks
	// for a lender asks where there is most.
	Unused int64 `json:"r,omitempty"`
	// Remaining bounds from above what all nodes together could still use when the account
	// had prepaid Prepaid: settled use is subtracted, open requests aren't.
	Remaining int64 `json:"l,omitempty"`
	Prepaid   int64 `json:"p,omitempty"`
}

// Ledger is the allocator's state. It is written before the grants that follow from it,
// so that a later allocator never counts less than was granted.
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

// LedgerAccount is what is granted of one account, in tokens.
type LedgerAccount struct {
	Account string `json:"a,omitempty"`
	// Closed is what ended incarnations may have used.
	Closed  int64         `json:"c,omitempty"`
	Entries []LedgerEntry `json:"e,omitempty"`
}

// LedgerEntry is one incarnation's part of one account, in tokens.
type LedgerEntry struct {
	// Node is an index into Ledger.Nodes.
	Node int `json:"n,omitempty"`
	// Target is the ceiling last granted; Committed what the incarnation may use at
	// most, which stays higher until it has confirmed a lower ceiling.
	Target    int64 `json:"t,omitempty"`
	Committed int64 `json:"c,omitempty"`
}
