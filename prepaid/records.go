package prepaid

// Report is what a node tells about its incarnation's use. A later report of the same
// incarnation replaces an earlier one.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"`

	Node        string
	Incarnation string
	// Region is where the node stands.
	Region string
	// SentAtMs is the machine's boot clock when the report was made, in milliseconds.
	SentAtMs int64
	// ReserveAtMs is the reading of the machine's boot clock, in milliseconds, before
	// which the incarnation doesn't go beyond the drawn limits of this report.
	ReserveAtMs int64
	// BootID names the machine's boot; a boot clock is comparable within one boot only.
	BootID string
	// SeenEpoch is the epoch of the newest grant that the incarnation applied.
	SeenEpoch uint64
	// Ended tells that the incarnation uses nothing any more.
	Ended bool
	Lines []ReportLine
	// Predecessors are the earlier incarnations of the node, until a grant shows that
	// they are closed.
	Predecessors []Closing
}

// ReportLine is one account's part of a report, in tokens.
type ReportLine struct {
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	// Spent is settled use, Held the most that open requests may still add.
	Spent, Held int64
	// Drawn is the limit on Spent plus Held before the reserve is opened.
	Drawn int64
	// Ceiling is the limit that the incarnation holds itself to for good.
	Ceiling int64
	// Rate is the recent demand in tokens a second, refused requests included.
	Rate int64
}

// Closing tells what an ended incarnation may have used at most.
type Closing struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation string
	// Known tells that Lines bound its use; otherwise its whole ceilings count as used.
	Known bool
	Lines []ClosingLine
}

// ClosingLine bounds one account's use by an ended incarnation, in tokens. An account
// without a line wasn't used.
type ClosingLine struct {
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Used    int64
}

// Grant sets the ceilings of one incarnation. A grant of a higher epoch replaces one of
// a lower epoch.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	Node        string
	Incarnation string
	Epoch       uint64
	Lines       []GrantLine
}

// GrantLine is one account's part of a grant, in tokens.
type GrantLine struct {
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Ceiling int64
	// Left bounds from above what all nodes together could still use when the account
	// had prepaid Prepaid: settled use is subtracted, open requests aren't.
	Left, Prepaid int64
}

// Ledger is the allocator's state. It is written before the grants that follow from it,
// so that a later allocator never counts less than was granted.
type Ledger struct {
	_msgpack struct{} `msgpack:",as_array"`

	Epoch    uint64
	Nodes    []LedgerNode
	Accounts []LedgerAccount
}

// LedgerNode is an incarnation that holds ceilings.
type LedgerNode struct {
	_msgpack struct{} `msgpack:",as_array"`

	Node        string
	Incarnation string
	// GrantEpoch is the epoch of the newest grant planned for it.
	GrantEpoch uint64
}

// LedgerAccount is what is granted of one account, in tokens.
type LedgerAccount struct {
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	// Closed is what ended incarnations may have used.
	Closed  int64
	Entries []LedgerEntry
}

// LedgerEntry is one incarnation's part of one account, in tokens.
type LedgerEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Node is an index into Ledger.Nodes.
	Node int
	// Target is the ceiling last granted; Committed what the incarnation may use at
	// most, which stays higher until it has confirmed a lower ceiling.
	Target, Committed int64
}
