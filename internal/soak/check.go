package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

// Violation is one observed breach of a guarantee.
type Violation struct {
	Guarantee, Detail string
}

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// history is what callers and upstreams observed in a run.
type history struct {
	records []callRecord
	// runs holds the executions of each request at upstreams, by request id.
	runs    map[string][]standin.Run
	prepaid map[string]int64
	// routes are the routes added during the run, spans the steps as they were executed,
	// nodeNumbers the numbers of the nodes by frontend address.
	routes      []addedRoute
	spans       []span
	nodeNumbers map[string]int
	// arrivals holds the requests that reached each upstream, stops each node's planned stops.
	arrivals [][]standin.Arrival
	// crashes are those of the upstreams.
	crashes []standin.EngineCrash
	stops   [][]processStop
	// upstreamPlaces and nodePlaces are where each upstream and node is, accountRegions the only region of accounts that
	// have one.
	upstreamPlaces, nodePlaces []place
	accountRegions             map[string]string
	// recoveryDeadline is recoveryTime after the last fault ended; calls from then on must be
	// served.
	recoveryDeadline time.Time
}

// checkHistory returns the violations of all guarantees in a history.
func checkHistory(h *history) []Violation {
	var violations []Violation
	for i := range h.records {
		r := &h.records[i]
		violations = append(violations, h.checkAtMostOnce(r)...)
		violations = append(violations, h.checkRefusal(r)...)
		violations = append(violations, checkWholeAnswer(r)...)
		violations = append(violations, checkSoundEvents(r)...)
	}
	violations = append(violations, h.checkCuts()...)
	violations = append(violations, h.checkPauses()...)
	violations = append(violations, h.checkNamedLimits()...)
	violations = append(violations, h.checkHeldRequests()...)
	violations = append(violations, h.checkCrashedUpstreams()...)
	violations = append(violations, h.checkLeavingUpstreams()...)
	violations = append(violations, h.checkCutFromUpstreams()...)
	violations = append(violations, h.checkRoutesInForce()...)
	violations = append(violations, h.checkNoRollback()...)
	violations = append(violations, h.checkOnlySentCalls()...)
	violations = append(violations, h.checkPrepaid()...)
	violations = append(violations, h.checkVersions()...)
	violations = append(violations, h.checkTakenUp()...)
	violations = append(violations, h.checkRegions()...)
	violations = append(violations, h.checkEvacuations()...)
	violations = append(violations, h.checkColdUpstreams()...)
	return append(violations, h.checkRecovery()...)
}

// checkAtMostOnce: a request that may not be retried runs at most once.
func (h *history) checkAtMostOnce(r *callRecord) []Violation {
	if r.call.Route.MaxAttempts > 1 || len(h.runs[r.call.ID]) <= 1 {
		return nil
	}
	return []Violation{{"at most once", fmt.Sprintf("%s on %s ran %d times", r.call.ID, r.call.Route.Name, len(h.runs[r.call.ID]))}}
}

// checkRefusal: a request that may not be retried and whose response says "not run" didn't run.
func (h *history) checkRefusal(r *callRecord) []Violation {
	switch r.outcome.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
	default:
		return nil
	}
	if r.call.Route.MaxAttempts > 1 || len(h.runs[r.call.ID]) == 0 {
		return nil
	}
	return []Violation{{"true refusals", fmt.Sprintf("%s on %s got %d and ran", r.call.ID, r.call.Route.Name, r.outcome.Status)}}
}

// checkWholeAnswer: an answer that looks complete is the upstream's whole answer to this request.
func checkWholeAnswer(r *callRecord) []Violation {
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
		if event != r.call.ResumeAfter+i+1 {
			return []Violation{{"whole answers", fmt.Sprintf("%s got events %v", r.call.ID, o.Events)}}
		}
	}
	if r.call.ResumeAfter+len(o.Events) != eventsPerStream {
		return []Violation{{"whole answers", fmt.Sprintf("%s ended after %d events", r.call.ID, len(o.Events))}}
	}
	return nil
}

// checkOnlySentCalls: upstreams run only what callers sent, for the account that owns the key.
func (h *history) checkOnlySentCalls() []Violation {
	sent := make(map[string]*callRecord, len(h.records))
	for i := range h.records {
		sent[h.records[i].call.ID] = &h.records[i]
	}
	var violations []Violation
	for id, runs := range h.runs {
		r, ok := sent[id]
		if !ok {
			violations = append(violations, Violation{"only what was asked", id + " ran although no caller sent it"})
			continue
		}
		for _, run := range runs {
			if run.Account != r.account || run.Target != r.call.Route.Path() || run.Body != cmp.Or(r.call.Body, "body of "+id) {
				violations = append(violations, Violation{"only what was asked", fmt.Sprintf("%s ran as %s %s %q", id, run.Account, run.Target, run.Body)})
			}
		}
	}
	return violations
}

// checkPrepaid: the prompts that ran, each counted once, and the events that callers received
// add up to no more than their account prepaid.
func (h *history) checkPrepaid() []Violation {
	used := make(map[string]int64)
	for i := range h.records {
		r := &h.records[i]
		if !r.call.Route.Engine || len(h.runs[r.call.ID]) == 0 {
			continue
		}
		used[r.account] += promptTokens + int64(len(r.outcome.Events))*standin.TokensPerEvent
	}
	var violations []Violation
	for account, tokens := range used {
		if tokens > h.prepaid[account] {
			violations = append(violations, Violation{"within what was prepaid", fmt.Sprintf("%s used %d of %d", account, tokens, h.prepaid[account])})
		}
	}
	return violations
}

// minServedShare is the share of calls that must be served after the recovery deadline.
const minServedShare = 0.25

// checkRecovery: after the recovery deadline at least minServedShare of the calls is served.
func (h *history) checkRecovery() []Violation {
	calls, served := 0, 0
	for i := range h.records {
		if r := &h.records[i]; r.start.After(h.recoveryDeadline) {
			calls++
			if r.outcome.Status == http.StatusOK && r.outcome.Complete {
				served++
			}
		}
	}
	if float64(served) >= minServedShare*float64(calls) && calls > 0 {
		return nil
	}
	return []Violation{{"recovery", fmt.Sprintf("%d of %d calls served after the last fault", served, calls)}}
}

// brokenGuarantees lists the guarantees that the violations break, without duplicates.
func brokenGuarantees(violations []Violation) []string {
	var names []string
	for _, v := range violations {
		if !slices.Contains(names, v.Guarantee) {
			names = append(names, v.Guarantee)
		}
	}
	return names
}
