package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// good is a call that went well, with its run.
func good(id string, route standin.Route) (record, standin.Run) {
	r := record{call: standin.Call{ID: id, Route: route}, account: "one", at: time.Unix(100, 0),
		outcome: standin.Outcome{Status: http.StatusOK, Signed: true, Complete: true, Body: standin.PlainResponse(id)}}
	if route.Engine {
		for i := range eventsOfStream {
			r.outcome.Events = append(r.outcome.Events, i+1)
		}
	}
	return r, standin.Run{ID: id, Account: "one", Target: route.Path(), Body: "body of " + id}
}

// calmEvidence is a run in which nothing went wrong.
func calmEvidence() *evidence {
	e := &evidence{runs: make(map[string][]standin.Run), prepaid: map[string]int64{"one": 10_000}, calmSince: time.Unix(99, 0)}
	for _, route := range []standin.Route{standin.StreamRoute, standin.NonResumableRoute, standin.OrderRoute, standin.LookupRoute} {
		r, run := good("id-"+route.Name, route)
		e.records = append(e.records, r)
		e.runs[run.ID] = append(e.runs[run.ID], run)
	}
	return e
}

func (e *evidence) of(route standin.Route) *record {
	at := slices.IndexFunc(e.records, func(r record) bool { return r.call.Route.Name == route.Name })
	return &e.records[at]
}

func TestCheckAcceptsFaultFreeHistory(t *testing.T) {
	is := is.New(t)
	is.Equal(len(judge(calmEvidence())), 0)
}

// A check that can't fail shows nothing. Each of these runs breaks one promise in the way
// that a defect of the fleet would, and the judge must name that promise.
func TestCheckDetectsEachViolation(t *testing.T) {
	for _, c := range []struct {
		name, promise string
		spoil         func(*evidence)
	}{
		{"an order runs twice", "at most once", func(e *evidence) { e.runs["id-orders"] = append(e.runs["id-orders"], e.runs["id-orders"][0]) }},
		{"a refused order ran", "true refusals", func(e *evidence) {
			e.of(standin.OrderRoute).outcome = standin.Outcome{Status: http.StatusServiceUnavailable}
		}},
		{"a stream lacks its end", "whole answers", func(e *evidence) { o := &e.of(standin.NonResumableRoute).outcome; o.Events = o.Events[:5] }},
		{"an event comes twice", "whole answers", func(e *evidence) { e.of(standin.StreamRoute).outcome.Events[3] = 3 }},
		{"an answer is another request's", "whole answers", func(e *evidence) { e.of(standin.LookupRoute).outcome.Body = standin.PlainResponse("x") }},
		{"an answer is nobody's", "whole answers", func(e *evidence) { e.of(standin.OrderRoute).outcome.Signed = false }},
		{"a request runs for another account", "only what was asked", func(e *evidence) { e.runs["id-fixed"][0].Account = "two" }},
		{"a request runs that nobody sent", "only what was asked", func(e *evidence) { e.runs["x"] = []standin.Run{{ID: "x"}} }},
		{"an account overspends", "within what was prepaid", func(e *evidence) { e.prepaid["one"] = 700 }},
		{"a planned stop cuts a stream", "planned stops", func(e *evidence) {
			e.nodes = map[string]int{"n": 2}
			e.spans = []span{{Step: Step{Kind: StopNode, Target: 2}, begin: time.Unix(99, 0), end: time.Unix(103, 0)}}
			r := e.of(standin.NonResumableRoute)
			r.node, r.end, r.outcome.Complete = "n", time.Unix(101, 0), false
		}},
		{"a new route isn't in force", "configuration in force", func(e *evidence) {
			e.routes = []addedRoute{{kind: standin.LookupRoute, at: time.Unix(96, 0)}}
			e.of(standin.LookupRoute).outcome = standin.Outcome{Status: http.StatusNotFound}
		}},
		{"a node goes back to an older configuration", "configuration stays", func(e *evidence) {
			r, run := good("later", standin.LookupRoute)
			r.at, r.outcome = time.Unix(105, 0), standin.Outcome{Status: http.StatusNotFound}
			e.records = append(e.records, r)
			e.runs[run.ID] = append(e.runs[run.ID], run)
		}},
		{"nothing is served after the faults", "recovery", func(e *evidence) {
			for i := range e.records {
				e.records[i].outcome = standin.Outcome{}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := calmEvidence()
			c.spoil(e)
			is.Equal(promises(judge(e)), []string{c.promise})
		})
	}
}

// A seed must give the same plan each time, or a failure can't be played again.
func TestPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	one, two := NewPlan(7, time.Minute, 5, 5), NewPlan(7, time.Minute, 5, 5)
	is.Equal(one, two)
	is.True(len(one) > 50)
	is.True(!slices.Equal(one, NewPlan(8, time.Minute, 5, 5)))
}
