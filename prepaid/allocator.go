package prepaid

import (
	"maps"
	"slices"
)

// Allocator plans how accounts are split among incarnations. It decides only from what the
// caller read from the store and does no I/O. It is not safe for concurrent use.
type Allocator struct {
	settings Settings
	nodes    map[string]*grantee
	accounts map[string]*account
	// accountOrder is the order in which accounts are planned; it makes plans deterministic.
	accountOrder []string
	// closedIncarnations collects the incarnations closed in the current round.
	closedIncarnations []ClosedIncarnation
}

// grantee is a node's incarnation that holds ceilings.
type grantee struct {
	incarnation string
	grantEpoch  uint64
}

// account is the allocation state of one client account, in tokens.
type account struct {
	closed  int64
	entries map[string]*entry
	// announcedRemaining is the remaining amount last announced to nodes, valid once announced
	// is set.
	announcedRemaining int64
	announced          bool
	// maxRequest is the largest request that nodes were told to admit, zero if all.
	maxRequest int64
}

// entry is one node's allocation of an account, in tokens.
type entry struct{ target, committed int64 }

// NewAllocator restores an allocator from the newest ledger in the store. A nil ledger gives an
// empty allocator.
func NewAllocator(settings Settings, ledger *Ledger) *Allocator {
	a := &Allocator{settings: settings, nodes: make(map[string]*grantee), accounts: make(map[string]*account)}
	if ledger == nil {
		return a
	}
	for _, n := range ledger.Nodes {
		a.nodes[n.Node] = &grantee{incarnation: n.Incarnation, grantEpoch: n.GrantEpoch}
	}
	for _, la := range ledger.Accounts {
		acc := a.account(la.Account)
		acc.closed, acc.maxRequest = la.Closed, la.MaxRequest
		for _, e := range la.Entries {
			acc.entries[ledger.Nodes[e.Node].Node] = &entry{target: e.Target, committed: e.Committed}
		}
	}
	return a
}

func (a *Allocator) account(name string) *account {
	acc, ok := a.accounts[name]
	if !ok {
		acc = &account{entries: make(map[string]*entry)}
		a.accounts[name] = acc
		a.accountOrder = append(a.accountOrder, name)
		slices.Sort(a.accountOrder)
	}
	return acc
}

// Member is a node as the allocator currently sees it.
type Member struct {
	Report Report
	// Live reports whether the node was heard from within the last few seconds. A node that is
	// not live keeps its ceilings: it may be partitioned and still serving.
	Live bool
}

// Round plans one round. The epoch must be higher than any used before. prepaid maps every
// limited account to its prepaid total.
func (a *Allocator) Round(epoch uint64, members []Member, prepaid map[string]int64) Plan {
	slices.SortFunc(members, func(x, y Member) int {
		if x.Report.Node < y.Report.Node {
			return -1
		}
		return 1
	})
	changed := make(map[string]bool)
	a.closedIncarnations = nil
	members = a.openMembers(members)
	for _, name := range slices.Sorted(maps.Keys(prepaid)) {
		a.planAccount(name, prepaid[name], members, changed)
	}
	return a.buildPlan(epoch, members, prepaid, changed)
}

// planAccount sets the targets of one account's entries.
func (a *Allocator) planAccount(name string, prepaid int64, members []Member, changed map[string]bool) {
	acc := a.account(name)
	a.confirmCommitments(acc, name, members)
	needs, used := a.needs(acc, name, members)
	a.chooseHolders(name, needs)
	committed := acc.closed
	available := prepaid - acc.closed
	live := make(map[string]bool, len(needs))
	for _, w := range needs {
		live[w.node] = true
	}
	for node, e := range acc.entries {
		committed += e.committed
		if !live[node] {
			available -= e.committed
		}
	}
	available -= used
	distributable := a.distributable(available, prepaid, needs)
	a.limitHolders(name, needs, distributable)
	a.raiseNeeds(needs, distributable)
	distribute(needs, distributable)
	unallocated := prepaid - committed
	for _, w := range needs {
		unallocated = a.retarget(acc, w, unallocated, changed)
	}
}

// confirmCommitments lowers commitments to the ceilings that incarnations report as applied.
func (a *Allocator) confirmCommitments(acc *account, name string, members []Member) {
	for _, m := range members {
		e, ok := acc.entries[m.Report.Node]
		if !ok || m.Report.AppliedEpoch < a.nodes[m.Report.Node].grantEpoch {
			continue
		}
		ceiling := int64(0)
		if l := findLine(&m.Report, name); l != nil {
			ceiling = l.Ceiling
		}
		e.committed = max(e.target, ceiling)
	}
}

// retarget moves a node's ceiling to its use plus its share if the change is large enough to be
// worth a grant. A raise is limited to the unallocated tokens; retarget returns those left over.
func (a *Allocator) retarget(acc *account, n need, unallocated int64, changed map[string]bool) int64 {
	e, ok := acc.entries[n.node]
	if !ok && n.tokens == 0 {
		return unallocated
	}
	if !ok {
		e = &entry{}
		acc.entries[n.node] = e
		changed[n.node] = true
	}
	target := n.used + n.share
	if raise := target - e.committed; raise > 0 {
		target = e.committed + min(raise, max(0, unallocated))
	}
	if !significantChange(e.target, target, n.share) {
		return unallocated
	}
	if raise := target - e.committed; raise > 0 {
		unallocated -= raise
		e.committed = target
	}
	e.target = target
	changed[n.node] = true
	return unallocated
}

// minChangeDivisor: a change is granted only if it is at least 1/8 of the node's share, which
// limits grants to a few a second per node at steady demand.
const minChangeDivisor = 8

func significantChange(old, target, share int64) bool {
	diff := target - old
	if diff < 0 {
		diff = -diff
	}
	return diff > 0 && diff*minChangeDivisor >= share
}

func findLine(r *Report, account string) *ReportLine {
	for i := range r.Lines {
		if r.Lines[i].Account == account {
			return &r.Lines[i]
		}
	}
	return nil
}
