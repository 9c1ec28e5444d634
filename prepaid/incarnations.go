package prepaid

import "slices"

// openMembers closes incarnations that were superseded or that returned their tokens, and
// returns the members that may hold ceilings.
func (a *Allocator) openMembers(members []Member) []Member {
	var open []Member
	for _, m := range members {
		g, known := a.nodes[m.Report.Node]
		if known && g.incarnation != m.Report.Incarnation {
			if !a.isSuccessor(m.Report, g.incarnation) {
				continue // late report of an incarnation that is already closed
			}
			a.closeIncarnation(m.Report, g.incarnation)
			known = false
		}
		if m.Report.Ended {
			if known {
				a.closeEnded(m.Report)
			}
			continue
		}
		if !known {
			a.nodes[m.Report.Node] = &grantee{incarnation: m.Report.Incarnation}
		}
		open = append(open, m)
	}
	return open
}

// isSuccessor reports whether a report lists holder as an incarnation that ended before its
// own. Incarnations of one node are sequential, and each lists those before it until a grant
// has reached it, so a report that doesn't list the holder is older than it.
func (a *Allocator) isSuccessor(r Report, holder string) bool {
	return slices.ContainsFunc(r.Predecessors, func(c FinalUsage) bool { return c.Incarnation == holder })
}

// closeIncarnation moves what an ended incarnation may have used from its entries to the closed
// totals.
func (a *Allocator) closeIncarnation(successor Report, incarnation string) {
	at := slices.IndexFunc(successor.Predecessors, func(c FinalUsage) bool { return c.Incarnation == incarnation })
	final := successor.Predecessors[at]
	lines := make(map[string]FinalUsageLine, len(final.Lines))
	for _, l := range final.Lines {
		lines[l.Account] = l
	}
	ended := ClosedIncarnation{Node: successor.Node, Incarnation: incarnation, Bounded: final.Bounded}
	for name, acc := range a.accounts {
		e, ok := acc.entries[successor.Node]
		if !ok {
			continue
		}
		counted := e.committed
		if final.Bounded {
			counted = min(lines[name].Used, e.committed)
		}
		acc.closed += counted
		ended.Spent += lines[name].Spent
		ended.Reported += lines[name].Reported
		ended.ByClock += min(lines[name].ByClock, counted)
		ended.Counted += counted
		ended.Returned += e.committed - counted
		delete(acc.entries, successor.Node)
	}
	delete(a.nodes, successor.Node)
	a.closedIncarnations = append(a.closedIncarnations, ended)
}

// closeEnded closes an incarnation by its own last report.
func (a *Allocator) closeEnded(r Report) {
	own := finalUsage(&r, ProcessStart{})
	r.Predecessors = []FinalUsage{own}
	a.closeIncarnation(r, r.Incarnation)
}
