package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// Violation is a broken promise.
type Violation struct {
	Guarantee, Detail string
}

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// evidence is what callers and upstreams saw in a run.
type evidence struct {
	records []record
	// runs holds the runs of each request at upstreams.
	runs    map[string][]standin.Run
	prepaid map[string]int64
	// routes are those that were added, spans the faults as they were played, nodes the
	// numbers of the nodes by where callers connect.
	routes []addedRoute
	spans  []span
	nodes  map[string]int
	// calmSince is when the last fault had ended and the fleet had its time to recover.
	calmSince time.Time
}

// judge returns the promises that the evidence shows broken.
func judge(e *evidence) []Violation {
	var found []Violation
	for i := range e.records {
		r := &e.records[i]
		found = append(found, e.once(r)...)
		found = append(found, e.trueRefusal(r)...)
		found = append(found, whole(r)...)
	}
	found = append(found, e.gracefulStops()...)
	found = append(found, e.inForce()...)
	found = append(found, e.neverBack()...)
	found = append(found, e.asked()...)
	found = append(found, e.withinPrepaid()...)
	return append(found, e.recovered()...)
}

// once: a request that may not be repeated runs once.
func (e *evidence) once(r *record) []Violation {
	if r.call.Route.MaxAttempts > 1 || len(e.runs[r.call.ID]) <= 1 {
		return nil
	}
	return []Violation{{"at most once", fmt.Sprintf("%s on %s ran %d times", r.call.ID, r.call.Route.Name, len(e.runs[r.call.ID]))}}
}

// trueRefusal: an answer that says "not run" is true.
func (e *evidence) trueRefusal(r *record) []Violation {
	switch r.outcome.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
	default:
		return nil
	}
	if r.call.Route.MaxAttempts > 1 || len(e.runs[r.call.ID]) == 0 {
		return nil
	}
	return []Violation{{"true refusals", fmt.Sprintf("%s on %s got %d and ran", r.call.ID, r.call.Route.Name, r.outcome.Status)}}
}

// whole: an answer that looks complete is the upstream's whole answer to this request.
func whole(r *record) []Violation {
	o := &r.outcome
	if o.Status != http.StatusOK || !o.Complete {
		return nil
	}
	if !o.Signed {
		return []Violation{{"whole answers", r.call.ID + " has no signature"}}
	}
	if !r.call.Route.Engine {
		if want := standin.PlainResponse(r.call.ID); o.Body != want {
			return []Violation{{"whole answers", fmt.Sprintf("%s got %q", r.call.ID, o.Body)}}
		}
		return nil
	}
	for i, event := range o.Events {
		if event != i+1 {
			return []Violation{{"whole answers", fmt.Sprintf("%s got events %v", r.call.ID, o.Events)}}
		}
	}
	if len(o.Events) != eventsOfStream {
		return []Violation{{"whole answers", fmt.Sprintf("%s ended after %d events", r.call.ID, len(o.Events))}}
	}
	return nil
}

// asked: upstreams run only what callers sent, for the account that holds the key.
func (e *evidence) asked() []Violation {
	sent := make(map[string]*record, len(e.records))
	for i := range e.records {
		sent[e.records[i].call.ID] = &e.records[i]
	}
	var found []Violation
	for id, runs := range e.runs {
		r, ok := sent[id]
		if !ok {
			found = append(found, Violation{"only what was asked", id + " ran and no caller sent it"})
			continue
		}
		for _, run := range runs {
			if run.Account != r.account || run.Target != r.call.Route.Path() || run.Body != "body of "+id {
				found = append(found, Violation{"only what was asked", fmt.Sprintf("%s ran as %s %s %q", id, run.Account, run.Target, run.Body)})
			}
		}
	}
	return found
}

// withinPrepaid: prompts that ran, each once, and events that callers have come to no more
// than what their account prepaid.
func (e *evidence) withinPrepaid() []Violation {
	used := make(map[string]int64)
	for i := range e.records {
		r := &e.records[i]
		if !r.call.Route.Engine || len(e.runs[r.call.ID]) == 0 {
			continue
		}
		used[r.account] += prompt + int64(len(r.outcome.Events))*standin.TokensPerEvent
	}
	var found []Violation
	for account, tokens := range used {
		if tokens > e.prepaid[account] {
			found = append(found, Violation{"within what was prepaid", fmt.Sprintf("%s used %d of %d", account, tokens, e.prepaid[account])})
		}
	}
	return found
}

// servedAtLeast is the part of the calls that must be served once the fleet has recovered.
const servedAtLeast = 0.25

// recovered: after the last fault a part of the calls is served again.
func (e *evidence) recovered() []Violation {
	calls, served := 0, 0
	for i := range e.records {
		if r := &e.records[i]; r.at.After(e.calmSince) {
			calls++
			if r.outcome.Status == http.StatusOK && r.outcome.Complete {
				served++
			}
		}
	}
	if float64(served) >= servedAtLeast*float64(calls) && calls > 0 {
		return nil
	}
	return []Violation{{"recovery", fmt.Sprintf("%d of %d calls served after the last fault", served, calls)}}
}

// promises lists the promises that a list of violations breaks.
func promises(found []Violation) []string {
	var names []string
	for _, v := range found {
		if !slices.Contains(names, v.Guarantee) {
			names = append(names, v.Guarantee)
		}
	}
	return names
}
