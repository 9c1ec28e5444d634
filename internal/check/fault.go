package check

import (
	"fmt"
	"time"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

const (
	outageDuration      = 35 * time.Second
	restartDelay        = 3 * time.Second
	engineFaultDuration = 5 * time.Second
	slowLogDelay        = 3 * time.Second
	lostAppendAnswers   = 3
	// retainedRecords is how many records the log retains while records age out: three
	// snapshots' worth.
	retainedRecords = 90
	retriedCalls    = 6
	raceRounds      = 4
	// cacheEventDelay delays cache events, and one in cacheEventLossPeriod is lost.
	cacheEventDelay      = 3 * time.Second
	cacheEventLossPeriod = 3
)

// Fault is a failure that the specification names.
type Fault struct {
	Name string
	// Needs lists the steps that must have been taken; without them no node has a mechanism
	// against the fault.
	Needs []fake.Step
	// NeedsInstanceList reports that the fault concerns the instance list.
	NeedsInstanceList bool
	// InterruptsAnswers reports that the fault itself interrupts responses in transit.
	InterruptsAnswers bool
	// SharedPrefixes gives the callers' prompts long common prefixes, which engines cache.
	SharedPrefixes bool
	// ResumesStreams lets callers whose node died resume at another node with their last
	// event ID.
	ResumesStreams bool
	// KillsEngine reports that an engine dies while others in its region go on serving.
	KillsEngine bool
	// Duration is the time from inject to heal; 0 for a fault that is over at once.
	Duration time.Duration
	inject   func(h *Harness, m *Member)
	heal     func(h *Harness, m *Member)
}

// AllFaults lists every fault of the matrix.
func AllFaults(timing Timing) []Fault {
	return append(Faults(timing),
		Fault{Name: "kill, callers read on", ResumesStreams: true, Duration: restartDelay, inject: func(_ *Harness, m *Member) { m.Kill() }, heal: restartMember},
		Fault{Name: "upstream leaves", Duration: leavingDuration,
			inject: func(h *Harness, _ *Member) { h.Go(h.startLeaving) },
			heal:   func(h *Harness, _ *Member) { h.cancelLeaving() }})
}

// Faults lists the faults of the specification in its order. Pairs pinned by seed are drawn
// from this list, so nothing may be added to it.
func Faults(timing Timing) []Fault {
	pastRight := timing.SpendRight*5/2 + time.Second
	return []Fault{
		{Name: "kill", Duration: restartDelay, inject: func(_ *Harness, m *Member) { m.Kill() }, heal: restartMember},
		{Name: "kill, replaced late", Duration: pastRight, inject: func(_ *Harness, m *Member) { m.Kill() }, heal: restartMember},
		{Name: "pause past the right", InterruptsAnswers: true, Duration: pastRight,
			inject: func(_ *Harness, m *Member) { m.Gate().Pause() },
			heal:   func(_ *Harness, m *Member) { m.Gate().Resume() }},
		{Name: "one-way cut", InterruptsAnswers: true, Duration: outageDuration,
			inject: func(h *Harness, m *Member) { h.Network.Isolate(fake.Endpoint(m.Address()), true, false) }, heal: healNetwork},
		{Name: "two-way cut", InterruptsAnswers: true, Duration: outageDuration,
			inject: func(h *Harness, m *Member) { h.Network.Isolate(fake.Endpoint(m.Address()), true, true) }, heal: healNetwork},
		{Name: "region cut for hours", InterruptsAnswers: true, Duration: timing.RegionCutDuration,
			inject: func(h *Harness, _ *Member) { h.Network.CutRegion(RegionAway) }, heal: healNetwork},
		{Name: "log down", Duration: outageDuration,
			inject: func(h *Harness, _ *Member) { h.Store.SetDown(true) },
			heal:   func(h *Harness, _ *Member) { h.Store.SetDown(false) }},
		{Name: "log slow", Duration: outageDuration,
			inject: func(h *Harness, _ *Member) { h.setLogDelay(slowLogDelay) },
			heal:   func(h *Harness, _ *Member) { h.setLogDelay(0) }},
		{Name: "append's answer lost", inject: func(h *Harness, _ *Member) {
			for _, other := range h.Members {
				other.Log().DropResponses(lostAppendAnswers)
			}
		}},
		{Name: "instance list lagging", NeedsInstanceList: true, Duration: outageDuration,
			inject: func(h *Harness, _ *Member) { h.Instances.SetDown(true) },
			heal:   func(h *Harness, _ *Member) { h.Instances.SetDown(false) }},
		{Name: "records aged out", Needs: []fake.Step{fake.StepSnapshot}, Duration: restartDelay,
			inject: func(h *Harness, m *Member) {
				h.Store.SetRetention(retainedRecords)
				m.Kill()
			}, heal: restartMember},
		{Name: "cache events with gaps", Needs: []fake.Step{fake.StepCacheEvent, fake.StepCacheGap}, SharedPrefixes: true, KillsEngine: true,
			Duration: outageDuration, inject: degradeCacheEvents, heal: restoreCacheEvents},
		{Name: "engine crosses answers", InterruptsAnswers: true, Duration: engineFaultDuration, inject: setUpstreamFaults(fake.UpstreamFaults{Cross: true}), heal: clearUpstreamFaults},
		{Name: "engine cuts answers", InterruptsAnswers: true, Duration: engineFaultDuration, inject: setUpstreamFaults(fake.UpstreamFaults{CutAfter: 3}), heal: clearUpstreamFaults},
		{Name: "engine ignores fencing", InterruptsAnswers: true, Needs: []fake.Step{fake.StepOrder}, Duration: pastRight,
			inject: func(h *Harness, m *Member) {
				h.Upstreams.SetFaults(fake.UpstreamFaults{IgnoreFencing: true})
				m.Gate().Pause()
			},
			heal: func(h *Harness, m *Member) {
				m.Gate().Resume()
				h.After(engineFaultDuration, func() { clearUpstreamFaults(h, m) })
			}},
		{Name: "operators race", inject: raceOperators},
		{Name: "caller retries", Needs: []fake.Step{fake.StepCallClaim}, inject: retryCalls},
	}
}

func restartMember(_ *Harness, m *Member) { m.Restart() }

func healNetwork(h *Harness, _ *Member) { h.Network.Heal() }

func clearUpstreamFaults(h *Harness, _ *Member) { h.Upstreams.SetFaults(fake.UpstreamFaults{}) }

func setUpstreamFaults(f fake.UpstreamFaults) func(*Harness, *Member) {
	return func(h *Harness, _ *Member) { h.Upstreams.SetFaults(f) }
}

// degradeCacheEvents delays and loses cache events, and kills the engine that nodes believe
// to cache most. They keep that belief, since no event revokes it.
func degradeCacheEvents(h *Harness, _ *Member) {
	h.Upstreams.SetCacheFaults(fake.CacheFaults{Delay: cacheEventDelay, DropEvery: cacheEventLossPeriod})
	if engine := h.Upstreams.BusiestCache(homeEngines()); engine != "" {
		h.Upstreams.KillEngine(engine)
	}
}

// restoreCacheEvents ends the delays and losses and restarts the engine with an empty cache.
func restoreCacheEvents(h *Harness, _ *Member) {
	h.Upstreams.SetCacheFaults(fake.CacheFaults{})
	for _, engine := range homeEngines() {
		h.Upstreams.RestartEngine(engine)
	}
}

func (h *Harness) setLogDelay(delay time.Duration) {
	for _, m := range h.Members {
		m.Log().SetDelay(delay)
	}
}

// raceOperators lets two operators change the same resource at the same time.
func raceOperators(h *Harness, _ *Member) {
	for round := range raceRounds {
		for i := range 2 {
			id := h.nextChangeID()
			h.After(time.Duration(round)*time.Second, func() { h.Change(h.Members[i], id, uint32(100+round)) })
		}
	}
}

func (h *Harness) nextChangeID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes++
	return fmt.Sprintf("race-%d", h.changes)
}

// retryCalls sends the same keyed call to two nodes at once, and again to a third one later.
func retryCalls(h *Harness, _ *Member) {
	for i := range retriedCalls {
		body := fmt.Sprintf("retried %s-%d", h.nextChangeID(), i)
		for j := range 3 {
			m := h.Members[(i+j)%len(h.Members)]
			h.After(time.Duration(j/2)*time.Second, func() { h.Call(m, fixtureAccounts[0], "POST", body, body) })
		}
	}
}
