package admission

import "time"

// fairQueue serves teams, and accounts within teams, in proportion to their weights
// while they have requests waiting. Flows are few (a handful of teams, some dozens of
// accounts), so they are searched in turn. All teams weigh the same.
type fairQueue struct {
	teams   []*teamFlow
	now     float64
	length  int
	backlog float64
}

// account returns the flow of an account, made when first needed.
func (q *fairQueue) account(teamName, name string, weight float64) *accountFlow {
	team := q.team(teamName)
	for _, a := range team.accounts {
		if a.name == name {
			a.weight = weight
			return a
		}
	}
	a := &accountFlow{name: name, team: team, virtual: virtual{weight: weight}}
	team.accounts = append(team.accounts, a)
	return a
}

func (q *fairQueue) team(name string) *teamFlow {
	for _, t := range q.teams {
		if t.name == name {
			return t
		}
	}
	t := &teamFlow{name: name, virtual: virtual{weight: 1}}
	q.teams = append(q.teams, t)
	return t
}

// push adds a waiting request. A flow that had none starts from the present virtual
// time: idling earns no credit with which it could shut out others later.
func (q *fairQueue) push(i *Request) {
	a := i.account
	if !a.team.active() {
		a.team.tag = max(a.team.tag, q.now)
	}
	if len(a.waiting) == 0 {
		a.tag = max(a.tag, a.team.now)
	}
	a.push(i)
	q.length++
	q.backlog += i.cost
}

func (q *fairQueue) remove(i *Request) {
	i.account.remove(i)
	q.length--
	q.backlog -= i.cost
}

// peek returns the request whose turn it is, nil if none waits: of the account with the
// smallest virtual time, that of its team before its own.
func (q *fairQueue) peek() *Request {
	var best *accountFlow
	for _, t := range q.teams {
		for _, a := range t.accounts {
			if len(a.waiting) > 0 && (best == nil || a.before(best)) {
				best = a
			}
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// take takes out a waiting request to be served.
func (q *fairQueue) take(i *Request, now time.Time) {
	q.remove(i)
	q.charge(i, now)
}

// charge moves the virtual times on by the request's cost. Requests that never had to
// wait are charged too, or an account whose requests come one at a time would get
// more than its share.
func (q *fairQueue) charge(i *Request, now time.Time) {
	i.account.usage.add(i.cost, now)
	i.account.team.usage.add(i.cost, now)
	account, team := i.account, i.account.team
	team.tag = max(team.tag, q.now)
	account.tag = max(account.tag, team.now)
	q.now, team.now = team.tag, account.tag
	team.tag += i.cost / team.weight
	account.tag += i.cost / account.weight
}

// isLight tells whether an account's team, or the account within its team, has had less
// than its share lately, what waits included if waiting is set. The virtual times can't tell: right after being
// served any flow is ahead of them, a small account's second request too.
func (q *fairQueue) isLight(a *accountFlow, now time.Time, waiting bool) bool {
	teams := shares{now: now, waiting: waiting}
	for _, t := range q.teams {
		teams.add(&t.virtual)
	}
	if teams.light(&a.team.virtual) {
		return true
	}
	accounts := shares{now: now, waiting: waiting}
	for _, other := range a.team.accounts {
		accounts.add(&other.virtual)
	}
	return accounts.light(&a.virtual)
}

// share returns the part of the drain rate that an account gets while it waits.
func (q *fairQueue) share(a *accountFlow) float64 {
	teams, accounts := 0.0, a.team.weightWaiting()
	for _, t := range q.teams {
		if t.active() {
			teams += t.weight
		}
	}
	if len(a.waiting) == 0 {
		accounts += a.weight
	}
	if !a.team.active() {
		teams += a.team.weight
	}
	return a.team.weight / teams * a.weight / accounts
}

// heaviest returns the account with most waiting for its share.
func (q *fairQueue) heaviest() *accountFlow {
	var best *accountFlow
	most := 0.0
	for _, t := range q.teams {
		for _, a := range t.accounts {
			if len(a.waiting) == 0 {
				continue
			}
			if over := a.backlog / q.share(a); best == nil || over > most {
				best, most = a, over
			}
		}
	}
	return best
}

// each calls do for every waiting request; do may remove it.
func (q *fairQueue) each(do func(*Request)) {
	for _, t := range q.teams {
		for _, a := range t.accounts {
			for _, i := range append([]*Request(nil), a.waiting...) {
				do(i)
			}
		}
	}
}
