package admission

import "slices"

// flow is the start-time fair queueing state of a team or an account.
type flow struct {
	weight float64
	// startTag is the virtual time at which the flow's next request starts.
	startTag float64
	usage    usage
	// backlog is the cost of the waiting requests, in tokens.
	backlog float64
}

// accountFlow holds an account's waiting requests, higher priorities first.
type accountFlow struct {
	flow
	name    string
	team    *teamFlow
	waiting []*Request
}

func (a *accountFlow) push(r *Request) {
	at := len(a.waiting)
	for at > 0 && a.waiting[at-1].Params.Priority < r.Params.Priority {
		at--
	}
	a.waiting = slices.Insert(a.waiting, at, r)
	a.backlog += r.cost
	a.team.backlog += r.cost
}

func (a *accountFlow) remove(r *Request) {
	at := slices.Index(a.waiting, r)
	if at < 0 {
		return
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	a.backlog -= r.cost
	a.team.backlog -= r.cost
}

// precedes reports whether the account is served before another one.
func (a *accountFlow) precedes(other *accountFlow) bool {
	if a.team != other.team {
		return a.team.startTag < other.team.startTag
	}
	return a.startTag < other.startTag
}

func (a *accountFlow) last() *Request { return a.waiting[len(a.waiting)-1] }

// teamFlow holds a team's accounts.
type teamFlow struct {
	flow
	name        string
	accounts    []*accountFlow
	virtualTime float64
}

func (t *teamFlow) active() bool {
	for _, a := range t.accounts {
		if len(a.waiting) > 0 {
			return true
		}
	}
	return false
}

func (t *teamFlow) waitingWeight() float64 {
	sum := 0.0
	for _, a := range t.accounts {
		if len(a.waiting) > 0 {
			sum += a.weight
		}
	}
	return sum
}
