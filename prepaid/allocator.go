package prepaid

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
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
	ended []Ended
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

// Plan is the outcome of one round: the ledger to write first, then the grants.
type Plan struct {
	Ledger Ledger
	Grants []Grant
	// Ended are the incarnations that this round closed.
	Ended []Ended
}

// Ended is an incarnation that was closed.
type Ended struct {
	Node, Incarnation string
	// Known tells that its last report bounds its use; otherwise its whole ceilings
	// count as used.
	Known bool
	// Counted is what counts as used, Returned what went back to the accounts, in
	// tokens over all accounts.
	Counted, Returned int64
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
	return slices.ContainsFunc(r.Predecessors, func(c Closing) bool { return c.Incarnation == holder })
}

// close moves what an ended incarnation may have used from its entries to the closed
// totals.
func (a *Allocator) close(successor Report, incarnation string) {
	at := slices.IndexFunc(successor.Predecessors, func(c Closing) bool { return c.Incarnation == incarnation })
	evidence := successor.Predecessors[at]
	used := make(map[string]int64, len(evidence.Lines))
	for _, l := range evidence.Lines {
		used[l.Account] = l.Used
	}
	ended := Ended{Node: successor.Node, Incarnation: incarnation, Known: evidence.Known}
	for name, acc := range a.accounts {
		e, ok := acc.entries[successor.Node]
		if !ok {
			continue
		}
		counted := e.committed
		if evidence.Known {
			counted = min(used[name], e.committed)
		}
		acc.closed += counted
		ended.Counted += counted
		ended.Returned += e.committed - counted
		delete(acc.entries, successor.Node)
	}
	delete(a.nodes, successor.Node)
	a.ended = append(a.ended, ended)
}

// closeEnded closes an incarnation by its own last report.
func (a *Allocator) closeEnded(r Report) {
	own := closing(&r, 0, r.BootID)
	r.Predecessors = []Closing{own}
	a.close(r, r.Incarnation)
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
	a.concentrate(name, wants, available)
	held := a.held(available, prepaid)
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
		if !ok || m.Report.SeenEpoch < a.nodes[m.Report.Node].grantEpoch {
			continue
		}
		ceiling := int64(0)
		if l := findLine(&m.Report, name); l != nil {
			ceiling = l.Ceiling
		}
		e.committed = max(e.target, ceiling)
	}
}

// want is a live node's need of one account, in tokens.
type want struct {
	node, region string
	// used is settled and open use, which can't be taken away.
	used int64
	// need is what it should hold beyond that.
	need int64
	// rate is its demand in tokens a second.
	rate float64
	// share is what it gets beyond its use.
	share int64
}

// wants collects the needs of live members and the sum of what they use.
func (a *Allocator) wants(acc *account, name string, members []Member) ([]want, int64) {
	var wants []want
	base := int64(0)
	for _, m := range members {
		if !m.Live {
			continue
		}
		w := want{node: m.Report.Node, region: m.Report.Region, need: a.settings.MinCeiling}
		if l := findLine(&m.Report, name); l != nil {
			w.used = l.Spent + l.Held
			w.rate = float64(l.Rate)
		}
		if e, ok := acc.entries[w.node]; ok {
			w.used = min(w.used, e.committed)
		}
		base += w.used
		wants = append(wants, w)
	}
	return wants, base
}

// chooseHolders takes the needs of all but the account's holders away. Holders are
// chosen by rendezvous hashing, so that few parts move when nodes come and go.
func (a *Allocator) chooseHolders(name string, wants []want) {
	byRegion := make(map[string][]*want)
	for i := range wants {
		byRegion[wants[i].region] = append(byRegion[wants[i].region], &wants[i])
	}
	for _, region := range byRegion {
		slices.SortFunc(region, func(x, y *want) int { return cmp.Compare(rank(name, y), rank(name, x)) })
		holders := region[:min(len(region), a.settings.HoldersPerRegion)]
		a.needs(holders, region)
		for _, w := range region[len(holders):] {
			w.need = 0
		}
	}
}

// concentrate leaves an account that is nearly used up to so few holders that each part
// still covers a long prompt. Split among six nodes, the last 50,000 tokens served no
// prompt of 12,000, and all its callers were refused.
func (a *Allocator) concentrate(name string, wants []want, available int64) {
	var holders []*want
	for i := range wants {
		if wants[i].need > 0 {
			holders = append(holders, &wants[i])
		}
	}
	most := max(1, int(available/a.settings.MinCeiling))
	if len(holders) <= most {
		return
	}
	slices.SortFunc(holders, func(x, y *want) int { return cmp.Compare(rank(name, y), rank(name, x)) })
	for _, w := range holders[most:] {
		w.need = 0
	}
}

// rank orders nodes as an account's holders, by rendezvous hashing.
func rank(account string, w *want) uint64 { return xxhash.Sum64String(account + "\x00" + w.node) }

// needs sets what holders need: their own demand, or an even part of their region's.
// They lend to each other and to all others, and which of them is asked is chance.
func (a *Allocator) needs(holders []*want, region []*want) {
	total := 0.0
	for _, w := range region {
		total += w.rate
	}
	even := total / float64(len(holders))
	for _, w := range holders {
		w.need = max(w.need, int64(max(w.rate, even)*a.settings.Horizon.Seconds()))
	}
}

// held is how much of what is available nodes may hold together.
func (a *Allocator) held(available, prepaid int64) int64 {
	if available <= 0 || prepaid <= 0 {
		return 0
	}
	left := float64(available) / float64(prepaid)
	held := int64((a.settings.SpreadLeast + a.settings.SpreadSlope*left) * float64(available))
	// What is kept back of an account that is nearly used up would never serve anybody:
	// each part would stay below one prompt.
	return max(held, min(available, a.settings.MinCeiling))
}

// plenty raises the holders' needs evenly to a part of what nodes may hold.
func (a *Allocator) plenty(wants []want, held int64) {
	holders := int64(0)
	for _, w := range wants {
		if w.need > 0 {
			holders++
		}
	}
	for i := range wants {
		if w := &wants[i]; w.need > 0 {
			w.need = max(w.need, int64(a.settings.PlentyShare*float64(held))/holders)
		}
	}
}

// spread gives each node what it needs, or the same part of it where the needs are more
// than may be held. A node without demand needs something too: if it loses the store
// then, what it was given is all it has.
func spread(wants []want, held int64) {
	need := int64(0)
	for _, w := range wants {
		need += w.need
	}
	for i := range wants {
		w := &wants[i]
		w.share = w.need
		if need > held {
			w.share = int64(float64(held) * float64(w.need) / float64(need))
		}
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
		if changed[m.Report.Node] || m.Live && m.Report.SeenEpoch < g.grantEpoch {
			p.Grants = append(p.Grants, a.grant(m.Report.Node, g, prepaid, left))
		}
	}
	p.Ledger = a.ledger(epoch)
	p.Ended = a.ended
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

func (a *Allocator) grant(node string, g *grantee, prepaid, left map[string]int64) Grant {
	grant := Grant{Node: node, Incarnation: g.incarnation, Epoch: g.grantEpoch}
	for _, name := range a.byAccount {
		e, ok := a.accounts[name].entries[node]
		if !ok {
			continue
		}
		grant.Lines = append(grant.Lines, GrantLine{Account: name, Ceiling: e.target, Left: left[name], Prepaid: prepaid[name]})
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

func findLine(r *Report, account string) *ReportLine {
	for i := range r.Lines {
		if r.Lines[i].Account == account {
			return &r.Lines[i]
		}
	}
	return nil
}
