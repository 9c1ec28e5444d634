package admission

import "slices"

// virtual is the place of a flow in start-time fair queueing.
type virtual struct {
	weight float64
	// tag is the virtual time at which the flow's next request starts.
	tag   float64
	usage usage
	// backlog is what waits, in tokens.
	backlog float64
}

// accountFlow holds an account's waiting requests, higher priorities first.
type accountFlow struct {
	virtual
	name    string
	team    *teamFlow
	waiting []*Request
}

func (a *accountFlow) push(i *Request) {
	at := len(a.waiting)
	for at > 0 && a.waiting[at-1].Params.Priority < i.Params.Priority {
		at--
	}
	a.waiting = slices.Insert(a.waiting, at, i)
	a.backlog += i.cost
	a.team.backlog += i.cost
}

func (a *accountFlow) remove(i *Request) {
	at := slices.Index(a.waiting, i)
	if at < 0 {
		return
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	a.backlog -= i.cost
	a.team.backlog -= i.cost
}

// before tells whether the account's turn comes before another's.
func (a *accountFlow) before(other *accountFlow) bool {
	if a.team != other.team {
		return a.team.tag < other.team.tag
	}
	return a.tag < other.tag
}

func (a *accountFlow) last() *Request { return a.waiting[len(a.waiting)-1] }

// teamFlow holds a team's accounts.
type teamFlow struct {
	virtual
	name     string
	accounts []*accountFlow
	now      float64
}

func (t *teamFlow) active() bool {
	for _, a := range t.accounts {
		if len(a.waiting) > 0 {
			return true
		}
	}
	return false
}

func (t *teamFlow) weightWaiting() float64 {
	sum := 0.0
	for _, a := range t.accounts {
		if len(a.waiting) > 0 {
			sum += a.weight
		}
	}
	return sum
}
