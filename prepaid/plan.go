package prepaid

import (
	"maps"
	"slices"
)

// Plan is the outcome of one round. The ledger must be written before the grants.
type Plan struct {
	Ledger Ledger
	Grants []Grant
	// Closed are the incarnations closed in this round.
	Closed []ClosedIncarnation
}

// ClosedIncarnation describes a closed incarnation.
type ClosedIncarnation struct {
	Node, Incarnation string
	// Bounded reports whether its last report bounds its use; otherwise its whole ceilings
	// count as used.
	Bounded bool
	// Spent is the settled use in its last report, if bounded, Reported that and what open requests
	// had reserved, ByClock what its limits allowed until its end if no clock was set back. Counted
	// is what counts as used, Returned what went back to the accounts. All are tokens summed over
	// all accounts.
	Spent, Reported, ByClock, Counted, Returned int64
}

// buildPlan assembles the ledger and the grants of changed nodes, and repeats the grants of
// live nodes that haven't confirmed theirs.
func (a *Allocator) buildPlan(epoch uint64, members []Member, prepaid map[string]int64, changed map[string]bool) Plan {
	var p Plan
	remaining := a.remaining(members, prepaid)
	a.announceRemaining(members, remaining, changed)
	a.limitRequests(members, prepaid, remaining, changed)
	for _, m := range members {
		g := a.nodes[m.Report.Node]
		if changed[m.Report.Node] {
			g.grantEpoch = epoch
		}
		if changed[m.Report.Node] || m.Live && m.Report.AppliedEpoch < g.grantEpoch {
			p.Grants = append(p.Grants, a.grant(&m.Report, g, prepaid, remaining))
		}
	}
	p.Ledger = a.ledger(epoch)
	p.Closed = a.closedIncarnations
	return p
}

// announceRemaining schedules a grant for each nearly exhausted account whose remaining amount
// differs from the last announced one, so that nodes can tell callers with certainty. Ceilings
// alone may stay unchanged while the last tokens are used.
func (a *Allocator) announceRemaining(members []Member, remaining map[string]int64, changed map[string]bool) {
	for name, tokens := range remaining {
		acc := a.account(name)
		if tokens >= a.settings.MinCeiling || acc.announced && tokens == acc.announcedRemaining {
			continue
		}
		if a.announce(acc, members, changed) {
			acc.announced, acc.announcedRemaining = true, tokens
		}
	}
}

// announce schedules a grant to one of an account's live nodes, which all nodes read, and reports
// whether there is one.
func (a *Allocator) announce(acc *account, members []Member, changed map[string]bool) bool {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Live && acc.entries[m.Report.Node] != nil })
	if at < 0 {
		return false
	}
	changed[members[at].Report.Node] = true
	return true
}

func (a *Allocator) grant(report *Report, g *grantee, prepaid, remaining map[string]int64) Grant {
	grant := Grant{Node: report.Node, Incarnation: g.incarnation, Epoch: g.grantEpoch}
	for _, name := range a.accountOrder {
		e, ok := a.accounts[name].entries[report.Node]
		if !ok {
			continue
		}
		line := GrantLine{Account: name, Ceiling: e.target, Unused: e.target, Remaining: remaining[name], Prepaid: prepaid[name], MaxRequest: a.accounts[name].maxRequest}
		if l := findLine(report, name); l != nil {
			line.Unused = max(0, e.target-l.Spent-l.Reserved)
		}
		grant.Lines = append(grant.Lines, line)
	}
	return grant
}

// remaining returns an upper bound of what may still be used of each account.
func (a *Allocator) remaining(members []Member, prepaid map[string]int64) map[string]int64 {
	remaining := make(map[string]int64, len(prepaid))
	for name, total := range prepaid {
		remaining[name] = total - a.account(name).closed
	}
	for _, m := range members {
		for _, l := range m.Report.Lines {
			if _, limited := remaining[l.Account]; limited {
				remaining[l.Account] -= l.Spent
			}
		}
	}
	return remaining
}

func (a *Allocator) ledger(epoch uint64) Ledger {
	l := Ledger{Epoch: epoch}
	index := make(map[string]int, len(a.nodes))
	for _, node := range slices.Sorted(maps.Keys(a.nodes)) {
		index[node] = len(l.Nodes)
		l.Nodes = append(l.Nodes, LedgerNode{Node: node, Incarnation: a.nodes[node].incarnation, GrantEpoch: a.nodes[node].grantEpoch})
	}
	for _, name := range a.accountOrder {
		acc := a.accounts[name]
		la := LedgerAccount{Account: name, Closed: acc.closed, MaxRequest: acc.maxRequest}
		for _, node := range slices.Sorted(maps.Keys(acc.entries)) {
			e := acc.entries[node]
			la.Entries = append(la.Entries, LedgerEntry{Node: index[node], Target: e.target, Committed: e.committed})
		}
		l.Accounts = append(l.Accounts, la)
	}
	return l
}
