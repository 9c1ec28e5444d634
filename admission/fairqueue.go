package admission

import "time"

// fairQueue serves teams, and accounts within teams, in proportion to their weights while they
// have requests waiting. There are few flows (a handful of teams, some dozens of accounts), so
// lookups are linear. All teams have the same weight.
type fairQueue struct {
	teams       []*teamFlow
	virtualTime float64
	length      int
	backlog     float64
}

// account returns the flow of an account and creates it on first use.
func (q *fairQueue) account(teamName, name string, weight float64) *accountFlow {
	team := q.team(teamName)
	for _, a := range team.accounts {
		if a.name == name {
			a.weight = weight
			return a
		}
	}
	a := &accountFlow{name: name, team: team, flow: flow{weight: weight}}
	team.accounts = append(team.accounts, a)
	return a
}

func (q *fairQueue) team(name string) *teamFlow {
	for _, t := range q.teams {
		if t.name == name {
			return t
		}
	}
	t := &teamFlow{name: name, flow: flow{weight: 1}}
	q.teams = append(q.teams, t)
	return t
}

// push adds a waiting request. A flow with no waiting requests starts at the current virtual
// time, so that idling earns no credit with which it could lock out others later.
func (q *fairQueue) push(r *Request) {
	a := r.account
	if !a.team.active() {
		a.team.startTag = max(a.team.startTag, q.virtualTime)
	}
	if len(a.waiting) == 0 {
		a.startTag = max(a.startTag, a.team.virtualTime)
	}
	a.push(r)
	q.length++
	q.backlog += r.cost
}

func (q *fairQueue) remove(r *Request) {
	r.account.remove(r)
	q.length--
	q.backlog -= r.cost
}

// peek returns the next request, or nil if none waits: the first one of the account with the
// smallest start tag, comparing teams before accounts.
func (q *fairQueue) peek() *Request {
	var best *accountFlow
	for _, t := range q.teams {
		for _, a := range t.accounts {
			if len(a.waiting) > 0 && (best == nil || a.precedes(best)) {
				best = a
			}
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// dequeue removes a waiting request and charges its flows for it.
func (q *fairQueue) dequeue(r *Request, now time.Time) {
	q.remove(r)
	q.charge(r, now)
}

// charge advances the virtual times by the request's cost. Requests that never waited are
// charged too; otherwise an account that sends one request at a time would get more than its
// share.
func (q *fairQueue) charge(r *Request, now time.Time) {
	r.account.usage.add(r.cost, now)
	r.account.team.usage.add(r.cost, now)
	account, team := r.account, r.account.team
	team.startTag = max(team.startTag, q.virtualTime)
	account.startTag = max(account.startTag, team.virtualTime)
	q.virtualTime, team.virtualTime = team.startTag, account.startTag
	team.startTag += r.cost / team.weight
	account.startTag += r.cost / account.weight
}

// isBelowShare reports whether an account's team, or the account within its team, was recently
// served less than its share; with includeBacklog, waiting requests count as demand too. Start
// tags can't answer this: any flow that was just served is ahead of the virtual time, even at a
// small account's second request.
func (q *fairQueue) isBelowShare(a *accountFlow, now time.Time, includeBacklog bool) bool {
	teams := activeFlows{now: now, includeBacklog: includeBacklog}
	for _, t := range q.teams {
		teams.add(&t.flow)
	}
	if teams.belowShare(&a.team.flow) {
		return true
	}
	accounts := activeFlows{now: now, includeBacklog: includeBacklog}
	for _, other := range a.team.accounts {
		accounts.add(&other.flow)
	}
	return accounts.belowShare(&a.flow)
}

// fairShare returns the fraction of the drain rate that an account gets while it waits.
func (q *fairQueue) fairShare(a *accountFlow) float64 {
	teams, accounts := 0.0, a.team.waitingWeight()
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

// mostBacklogged returns the account with the largest backlog relative to its share.
func (q *fairQueue) mostBacklogged() *accountFlow {
	var best *accountFlow
	most := 0.0
	for _, t := range q.teams {
		for _, a := range t.accounts {
			if len(a.waiting) == 0 {
				continue
			}
			if relative := a.backlog / q.fairShare(a); best == nil || relative > most {
				best, most = a, relative
			}
		}
	}
	return best
}

// forEach calls fn for every waiting request; fn may remove it.
func (q *fairQueue) forEach(fn func(*Request)) {
	for _, t := range q.teams {
		for _, a := range t.accounts {
			for _, r := range append([]*Request(nil), a.waiting...) {
				fn(r)
			}
		}
	}
}
