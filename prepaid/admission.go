package prepaid

import "slices"

// admit closes incarnations that others have followed or that gave back what they had,
// and returns the members that may hold ceilings.
func (a *Allocator) admit(members []Member) []Member {
	var open []Member
	for _, m := range members {
		g, known := a.nodes[m.Report.Node]
		if known && g.incarnation != m.Report.Incarnation {
			if !a.succeeds(m.Report, g.incarnation) {
				continue // a late report of an incarnation that was closed before
			}
			a.close(m.Report, g.incarnation)
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

// succeeds tells that a report names an incarnation as one that ended before its own.
// Incarnations of one node follow each other, and each names those before it until a
// grant has reached it, so a report that doesn't name the holder is older than it.
func (a *Allocator) succeeds(r Report, holder string) bool {
	return slices.ContainsFunc(r.Predecessors, func(c FinalUsage) bool { return c.Incarnation == holder })
}

// close moves what an ended incarnation may have used from its entries to the closed
// totals.
func (a *Allocator) close(successor Report, incarnation string) {
	at := slices.IndexFunc(successor.Predecessors, func(c FinalUsage) bool { return c.Incarnation == incarnation })
	evidence := successor.Predecessors[at]
	lines := make(map[string]FinalUsageLine, len(evidence.Lines))
	for _, l := range evidence.Lines {
		lines[l.Account] = l
	}
	ended := ClosedIncarnation{Node: successor.Node, Incarnation: incarnation, Bounded: evidence.Bounded}
	for name, acc := range a.accounts {
		e, ok := acc.entries[successor.Node]
		if !ok {
			continue
		}
		counted := e.committed
		if evidence.Bounded {
			counted = min(lines[name].Used, e.committed)
		}
		acc.closed += counted
		ended.Reported += lines[name].Reported
		ended.Counted += counted
		ended.Returned += e.committed - counted
		delete(acc.entries, successor.Node)
	}
	delete(a.nodes, successor.Node)
	a.ended = append(a.ended, ended)
}

// closeEnded closes an incarnation by its own last report.
func (a *Allocator) closeEnded(r Report) {
	own := closing(&r, ProcessStart{})
	r.Predecessors = []FinalUsage{own}
	a.close(r, r.Incarnation)
}
