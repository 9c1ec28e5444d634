package prepaid

import (
	"maps"
	"slices"
)

// Allocator plans how accounts are split among incarnations. It is a pure decision over
// what the caller read from the store; it isn't safe for concurrent use.
type Allocator struct {
	settings Settings
	nodes    map[string]*grantee
	accounts map[string]*account
	// byAccount is the order in which accounts are planned, so that plans repeat.
	byAccount []string
	// ended collects what a round closed.
	ended []ClosedIncarnation
}

// grantee is the incarnation of a node that holds ceilings.
type grantee struct {
	incarnation string
	grantEpoch  uint64
}

// account is what is granted of one client account, in tokens.
type account struct {
	closed  int64
	entries map[string]*entry
	// toldLeft is what nodes were last told to be left, once told is set.
	toldLeft int64
	told     bool
}

// entry is one node's part of an account, in tokens.
type entry struct{ target, committed int64 }

// NewAllocator starts from the newest ledger in the store, or from nothing.
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
		acc.closed = la.Closed
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
		a.byAccount = append(a.byAccount, name)
		slices.Sort(a.byAccount)
	}
	return acc
}

// Member is a node as the allocator sees it now.
type Member struct {
	Report Report
	// Live tells that the node was heard of within the last seconds. A node that isn't
	// live keeps its ceilings: it may be cut off and serving.
	Live bool
}

// Round plans one round at an epoch that is higher than any before. prepaid names every
// account with a limit and its total.
func (a *Allocator) Round(epoch uint64, members []Member, prepaid map[string]int64) Plan {
	slices.SortFunc(members, func(x, y Member) int {
		if x.Report.Node < y.Report.Node {
			return -1
		}
		return 1
	})
	changed := make(map[string]bool)
	a.ended = nil
	members = a.admit(members)
	for _, name := range slices.Sorted(maps.Keys(prepaid)) {
		a.planAccount(name, prepaid[name], members, changed)
	}
	return a.plan(epoch, members, prepaid, changed)
}

// planAccount sets the targets of one account's entries.
func (a *Allocator) planAccount(name string, prepaid int64, members []Member, changed map[string]bool) {
	acc := a.account(name)
	a.confirm(acc, name, members)
	wants, base := a.wants(acc, name, members)
	a.chooseHolders(name, wants)
	committed := acc.closed
	available := prepaid - acc.closed
	live := make(map[string]bool, len(wants))
	for _, w := range wants {
		live[w.node] = true
	}
	for node, e := range acc.entries {
		committed += e.committed
		if !live[node] {
			available -= e.committed
		}
	}
	available -= base
	held := a.held(available, prepaid)
	a.concentrate(name, wants, held)
	a.plenty(wants, held)
	spread(wants, held)
	free := prepaid - committed
	for _, w := range wants {
		free = a.retarget(acc, w, free, changed)
	}
}

// confirm lowers commitments to what incarnations report to hold themselves to.
func (a *Allocator) confirm(acc *account, name string, members []Member) {
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

// retarget moves a node's ceiling to its use plus its share where that differs enough
// to be worth a grant, within what is free, and returns what is free then.
func (a *Allocator) retarget(acc *account, w want, free int64, changed map[string]bool) int64 {
	e, ok := acc.entries[w.node]
	if !ok && w.need == 0 {
		return free
	}
	if !ok {
		e = &entry{}
		acc.entries[w.node] = e
		changed[w.node] = true
	}
	target := w.used + w.share
	if raise := target - e.committed; raise > 0 {
		target = e.committed + min(raise, max(0, free))
	}
	if !worthwhile(e.target, target, w.share) {
		return free
	}
	if raise := target - e.committed; raise > 0 {
		free -= raise
		e.committed = target
	}
	e.target = target
	changed[w.node] = true
	return free
}

// changeShare is how much of a node's share a change must move to be granted: 1/8 keeps
// grants to a few a second per node at steady demand.
const changeShare = 8

func worthwhile(old, target, share int64) bool {
	diff := target - old
	if diff < 0 {
		diff = -diff
	}
	return diff > 0 && diff*changeShare >= share
}

func findLine(r *Report, account string) *ReportLine {
	for i := range r.Lines {
		if r.Lines[i].Account == account {
			return &r.Lines[i]
		}
	}
	return nil
}
