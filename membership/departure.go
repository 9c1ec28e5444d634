package membership

import (
	"maps"
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

// maxDepartureTime is how long it is held against an upstream that the list never shows as leaving
// or gone that it said that it is leaving: it may have been replaced at its address faster than
// the list is read. One that still leaves says so again.
const maxDepartureTime = time.Minute

// departure is an upstream's own word that it is leaving.
type departure struct {
	stage departureStage
	// saidAt is when the upstream said it.
	saidAt time.Time
}

// departureStage is what the platform's list shows of an upstream that said that it is leaving.
type departureStage int

const (
	// notLeaving: the upstream didn't say that it is leaving.
	notLeaving departureStage = iota
	// departureUnlisted: the list doesn't show it yet.
	departureUnlisted
	// departureListed: the list has shown the upstream as leaving, or no more. If it is then
	// listed as serving, another process serves at its address.
	departureListed
)

// The sources of event.UpstreamLeaving.
const (
	sourceList   = "list"
	sourceAnswer = "answer"
)

// MarkLeaving records that the upstream at an address said that it is leaving. It holds until
// the list shows the upstream as leaving, or no more, and then as serving: the list lags, so one
// that just shows it as serving may be older. One that shows nothing else for maxDepartureTime
// isn't.
func (i *Instances) MarkLeaving(address string) {
	if i.SaidLeaving(address) {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.last.Load()
	if before.saidLeaving[address].stage != notLeaving {
		return
	}
	current := *before
	current.saidLeaving = maps.Clone(before.saidLeaving)
	if current.saidLeaving == nil {
		current.saidLeaving = map[string]departure{}
	}
	current.saidLeaving[address] = departure{before.nextStage(address, departureUnlisted), i.clock.Now()}
	current.leavingVersion++
	i.last.Store(&current)
	i.events.Record(event.UpstreamLeaving, "upstream", address, "source", sourceAnswer)
}

// SaidLeaving reports whether the upstream at an address said that it is leaving.
func (i *Instances) SaidLeaving(address string) bool {
	return i.last.Load().saidLeaving[address].stage != notLeaving
}

// remainingDepartures returns the departures after a response, without those of upstreams that
// were replaced.
func (l *listing) remainingDepartures(before map[string]departure) map[string]departure {
	remaining := map[string]departure{}
	for address, d := range before {
		next := l.nextStage(address, d.stage)
		expired := next == departureUnlisted && l.receivedAt.Sub(d.saidAt) >= maxDepartureTime
		if next != notLeaving && !expired {
			remaining[address] = departure{next, d.saidAt}
		}
	}
	return remaining
}

func (l *listing) nextStage(address string, d departureStage) departureStage {
	switch {
	case l.leaving[address], l.pastUpstreams[address] && !l.upstreams[address]:
		return departureListed
	case l.upstreams[address] && d == departureListed:
		return notLeaving
	}
	return d
}

// addPastUpstreams adds the upstreams of this response to those of any response.
func (l *listing) addPastUpstreams() {
	added := false
	for address := range l.upstreams {
		if l.pastUpstreams[address] {
			continue
		}
		if !added {
			l.pastUpstreams = maps.Clone(l.pastUpstreams)
			if l.pastUpstreams == nil {
				l.pastUpstreams = map[string]bool{}
			}
			added = true
		}
		l.pastUpstreams[address] = true
	}
}
