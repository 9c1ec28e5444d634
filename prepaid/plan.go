package prepaid

import (
	"maps"
	"slices"
)

// Plan is the outcome of one round: the ledger to write first, then the grants.
type Plan struct {
	Ledger Ledger
	Grants []Grant
	// Closed are the incarnations that this round closed.
	Closed []ClosedIncarnation
}

// ClosedIncarnation is an incarnation that was closed.
type ClosedIncarnation struct {
	Node, Incarnation string
	// Bounded tells that its last report bounds its use; otherwise its whole ceilings
	// count as used.
	Bounded bool
	// Reported is what it told last to have used and held, if known; Counted is what counts
	// as used, Returned what went back to the accounts: tokens over all accounts.
	Reported, Counted, Returned int64
}

// plan writes down the state and the grants of the nodes that changed, and repeats the
// grants of nodes that haven't confirmed theirs.
func (a *Allocator) plan(epoch uint64, members []Member, prepaid map[string]int64, changed map[string]bool) Plan {
	var p Plan
	left := a.left(members, prepaid)
	a.tellLeft(members, left, changed)
	for _, m := range members {
		g := a.nodes[m.Report.Node]
		if changed[m.Report.Node] {
			g.grantEpoch = epoch
		}
		if changed[m.Report.Node] || m.Live && m.Report.AppliedEpoch < g.grantEpoch {
			p.Grants = append(p.Grants, a.grant(&m.Report, g, prepaid, left))
		}
	}
	p.Ledger = a.ledger(epoch)
	p.Closed = a.ended
	return p
}

// tellLeft has a grant written for each account that is nearly used up and of which less
// is left than nodes were told, so that they can tell callers for certain. Ceilings alone
// may stay as they are while the last tokens are used.
func (a *Allocator) tellLeft(members []Member, left map[string]int64, changed map[string]bool) {
	for name, tokens := range left {
		acc := a.account(name)
		if tokens >= a.settings.MinCeiling || acc.told && tokens == acc.toldLeft {
			continue
		}
		at := slices.IndexFunc(members, func(m Member) bool { return m.Live && acc.entries[m.Report.Node] != nil })
		if at < 0 {
			continue
		}
		changed[members[at].Report.Node] = true
		acc.told, acc.toldLeft = true, tokens
	}
}

func (a *Allocator) grant(report *Report, g *grantee, prepaid, left map[string]int64) Grant {
	grant := Grant{Node: report.Node, Incarnation: g.incarnation, Epoch: g.grantEpoch}
	for _, name := range a.byAccount {
		e, ok := a.accounts[name].entries[report.Node]
		if !ok {
			continue
		}
		line := GrantLine{Account: name, Ceiling: e.target, Unused: e.target, Remaining: left[name], Prepaid: prepaid[name]}
		if l := findLine(report, name); l != nil {
			line.Unused = max(0, e.target-l.Spent-l.Reserved)
		}
		grant.Lines = append(grant.Lines, line)
	}
	return grant
}

// left bounds from above what may still be used of each account.
func (a *Allocator) left(members []Member, prepaid map[string]int64) map[string]int64 {
	left := make(map[string]int64, len(prepaid))
	for name, total := range prepaid {
		left[name] = total - a.account(name).closed
	}
	for _, m := range members {
		for _, l := range m.Report.Lines {
			if _, limited := left[l.Account]; limited {
				left[l.Account] -= l.Spent
			}
		}
	}
	return left
}

func (a *Allocator) ledger(epoch uint64) Ledger {
	l := Ledger{Epoch: epoch}
	index := make(map[string]int, len(a.nodes))
	for _, node := range slices.Sorted(maps.Keys(a.nodes)) {
		index[node] = len(l.Nodes)
		l.Nodes = append(l.Nodes, LedgerNode{Node: node, Incarnation: a.nodes[node].incarnation, GrantEpoch: a.nodes[node].grantEpoch})
	}
	for _, name := range a.byAccount {
		acc := a.accounts[name]
		la := LedgerAccount{Account: name, Closed: acc.closed}
		for _, node := range slices.Sorted(maps.Keys(acc.entries)) {
			e := acc.entries[node]
			la.Entries = append(la.Entries, LedgerEntry{Node: index[node], Target: e.target, Committed: e.committed})
		}
		l.Accounts = append(l.Accounts, la)
	}
	return l
}
