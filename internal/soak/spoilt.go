package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// minSpoiltDuration is how long an upstream at least spoils streams, long enough for several of them to begin.
	minSpoiltDuration = time.Second
	// maxSpoiltSteps is how many periods of it a plan has at most, beside one of each form.
	maxSpoiltSteps = 3
	// maxSpoilEvery is the largest Step.SpoilEvery.
	maxSpoilEvery = 4
)

// spoiltStreams returns periods in which an engine spoils some of its streams, at least one of each form. They have numbers of
// their own, so that other steps don't depend on them.
func spoiltStreams(r *rand.Rand, length time.Duration) []Step {
	forms := standin.SpoilForms
	for range r.IntN(maxSpoiltSteps + 1) {
		forms = append(forms[:len(forms):len(forms)], standin.SpoilForms[r.IntN(len(standin.SpoilForms))])
	}
	var steps []Step
	for _, form := range forms {
		steps = append(steps, Step{Kind: UpstreamSpoilsStreams, At: time.Duration(r.Int64N(int64(length))), Duration: minSpoiltDuration + time.Duration(r.Int64N(int64(maxFaultDuration))),
			Target: r.IntN(engineCount), SpoilEvery: 1 + r.IntN(maxSpoilEvery), Spoil: form})
	}
	return steps
}

// checkSoundEvents: callers get nothing that no run made, and what they get of a stream that is cut lacks no event before its last.
// That no stream which ends as complete lacks any is checkWholeAnswer's.
func checkSoundEvents(r *callRecord) []Violation {
	o := &r.outcome
	if len(o.Spoilt) > 0 {
		return []Violation{{"only sound events", fmt.Sprintf("%s on %s got %q", r.call.ID, r.call.Route.Name, o.Spoilt)}}
	}
	if o.Complete {
		return nil
	}
	for i, event := range o.Events {
		if event != r.call.ResumeAfter+i+1 {
			return []Violation{{"only sound events", fmt.Sprintf("%s got events %v behind %d", r.call.ID, o.Events, r.call.ResumeAfter)}}
		}
	}
	return nil
}
