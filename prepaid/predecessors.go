package prepaid

import "time"

const (
	// maxClockSetBack is how far an instance's wall clock may be set back between two
	// incarnations while the later one still derives correctly how long ago the earlier one
	// reported. Steps of up to 2.4 s were announced; half a second is for their sum and
	// ordinary clock drift.
	maxClockSetBack = 3 * time.Second
	// maxClockDivergence is the most that the two clocks of one boot disagree about elapsed
	// time: the wall clock was seen to jump by seconds, while a boot clock that restarted is
	// off by the instance's uptime. At least LimitTTL, so that a wall clock that was set back can't
	// make an incarnation look shorter than the boot clock shows.
	maxClockDivergence = 20 * time.Second
	// maxClockSkew is the most that the wall clocks of two healthy instances differ.
	maxClockSkew = 500 * time.Millisecond
)

// ProcessStart describes a process's start. Earlier incarnations of its node had ended by then.
type ProcessStart struct {
	ClockReading
	// BootID identifies the instance's boot.
	BootID string
	// FleetIsNew is set if the whole fleet starts for the first time, so that no node has earlier
	// incarnations.
	FleetIsNew bool
	// Leads is how far the timestamps of reports are ahead of this instance's wall
	// clock, by node, if that is further than healthy clocks differ: either clock may be wrong.
	Leads map[string]time.Duration
}

// AddReport takes a report into account whose timestamp may be ahead of wallTime. One of an earlier
// incarnation of the node itself proves that the clock was set back.
func (s *ProcessStart) AddReport(wallTime time.Duration, report *Report) {
	lead := millis(report.SentTimeMs) - wallTime
	if lead <= maxClockSkew {
		return
	}
	if s.Leads == nil {
		s.Leads = make(map[string]time.Duration)
	}
	s.Leads[report.Node] = max(s.Leads[report.Node], lead)
}

// clockDoubt returns how much longer an incarnation may have lived than the wall clock shows, and
// false if the clock can't be trusted: another node's is ahead of it and wasn't before the
// incarnation's last report, so that this one was set back since. A clock that had been ahead
// before proves nothing of that kind, but may hide that this one was set back: the doubt grows by
// its lead.
func (r *Report) clockDoubt(start ProcessStart) (time.Duration, bool) {
	doubt := maxClockSetBack
	for node, lead := range start.Leads {
		if lead > millis(r.ClockLeadsMs[node])+maxClockSkew {
			return 0, false
		}
		doubt = max(doubt, maxClockSetBack+lead)
	}
	return doubt, true
}

// FinalUsages derives from the last reports of a node's earlier incarnations the most that each
// may have used.
func FinalUsages(last []Report, start ProcessStart) []FinalUsage {
	var usages []FinalUsage
	for i := range last {
		usages = append(usages, finalUsage(&last[i], start))
	}
	return usages
}

func finalUsage(last *Report, start ProcessStart) FinalUsage {
	usage := FinalUsage{Incarnation: last.Incarnation}
	lifetime, doubt, known := last.lifetime(start)
	if !last.Ended && !known {
		return usage
	}
	usage.Bounded = true
	for _, l := range last.Lines {
		reported := l.Spent + l.Reserved
		line := FinalUsageLine{Account: l.Account, Used: reported, Spent: l.Spent, Reported: reported, ByClock: reported}
		if !last.Ended {
			ramp := limitRamp{l.InitialLimit, l.Growth}
			line.Used, line.ByClock = ramp.at(lifetime+doubt), ramp.at(lifetime)
		}
		usage.Lines = append(usage.Lines, line)
	}
	return usage
}

// lifetime returns how long after the start of its limit schedule the incarnation can have used
// tokens by the clocks, how much longer it may have been if a clock was set back, and false if
// nothing proves that it ended before the schedule's TTL.
//
// On the same boot, the boot clock shows it. After a power loss only the wall clock is left,
// which may have been set back in the meantime: it is trusted up to maxClockSetBack, and not at
// all if other nodes' reports contradict it (clockDoubt).
func (r *Report) lifetime(start ProcessStart) (lifetime, doubt time.Duration, known bool) {
	s := r.limitSchedule()
	if r.sameBoot(start) {
		lifetime = start.Boot - s.base.Boot
		return lifetime, 0, lifetime >= 0 && lifetime < s.ttl
	}
	lifetime = start.Wall - s.base.Wall
	doubt, trusted := r.clockDoubt(start)
	return lifetime, doubt, trusted && lifetime >= 0 && lifetime+doubt < s.ttl
}

// sameBoot reports whether the instance stayed up between the report and a start. Several
// instances that share a kernel share its boot ID but not the boot clock.
func (r *Report) sameBoot(start ProcessStart) bool {
	base := r.limitSchedule().base
	divergence := (start.Boot - base.Boot) - (start.Wall - base.Wall)
	return r.BootID == start.BootID && divergence.Abs() <= maxClockDivergence
}

func (r *Report) limitSchedule() limitSchedule {
	return limitSchedule{base: ClockReading{Boot: millis(r.StartBootMs), Wall: millis(r.StartTimeMs)}, ttl: millis(r.LimitTTLMs)}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
