package prepaid

import "time"

const (
	// mostSetBack is how far the time of day of one instance may be set back between two
	// incarnations for the later one to still tell rightly how long ago the earlier one
	// reported. Steps of up to 2.4 s were announced; half a second is for their adding up
	// with the clocks' ordinary drift.
	mostSetBack = 3 * time.Second
	// mostStep is by how much the two clocks of one boot disagree at most about the time
	// that passed: the time of day was seen to jump by seconds, while a boot clock that
	// started anew is off by the time that the instance had been up.
	mostStep = 10 * time.Second
	// mostApart is how far the times of day of two sound instances are apart.
	mostApart = 500 * time.Millisecond
)

// ProcessStart is what a process knows of its own start. Earlier incarnations of its node had
// ended by then.
type ProcessStart struct {
	ClockReading
	// BootID names the instance's boot.
	BootID string
	// ClockBehind tells that another node's report bears a time that this instance's time of
	// day hasn't reached, so that it can't be trusted.
	ClockBehind bool
}

// ClockIsBehind tells whether a report bears a time of day that a sound clock which shows
// timeOfDay would have reached.
func ClockIsBehind(timeOfDay time.Duration, report *Report) bool {
	return time.Duration(report.SentTimeMs)*time.Millisecond > timeOfDay+mostApart
}

// FinalUsages turns the last reports that a node's earlier incarnations left in the
// store into what each may have used at most.
func FinalUsages(last []Report, start ProcessStart) []FinalUsage {
	var closings []FinalUsage
	for i := range last {
		closings = append(closings, closing(&last[i], start))
	}
	return closings
}

func closing(last *Report, start ProcessStart) FinalUsage {
	c := FinalUsage{Incarnation: last.Incarnation}
	lived, proved := last.lived(start)
	switch {
	case last.Ended:
		c.Bounded = true
		for _, l := range last.Lines {
			c.Lines = append(c.Lines, FinalUsageLine{Account: l.Account, Used: l.Spent + l.Reserved, Reported: l.Spent + l.Reserved})
		}
	case proved:
		c.Bounded = true
		for _, l := range last.Lines {
			c.Lines = append(c.Lines, FinalUsageLine{Account: l.Account, Used: pledge{l.InitialLimit, l.Growth}.bound(lived), Reported: l.Spent + l.Reserved})
		}
	}
	return c
}

// lived bounds how long after the report's promise began the incarnation can have used
// tokens; false if nothing proves that it ended before its ceilings alone bound it.
//
// On the same boot the boot clock tells. After a power loss only the time of day is left,
// which may have been set back meanwhile; what it shows is trusted but for mostSetBack,
// and not at all where other nodes' reports contradict it.
func (r *Report) lived(start ProcessStart) (time.Duration, bool) {
	p := r.promise()
	if r.sameBoot(start) {
		lived := start.Boot - p.from.Boot
		return lived, lived >= 0 && lived < p.opensAfter
	}
	shown := start.Wall - p.from.Wall
	lived := shown + mostSetBack
	return lived, !start.ClockBehind && shown >= 0 && lived < p.opensAfter
}

// sameBoot tells whether the instance stayed up between the report and a start. Where
// several instances share a kernel they share its boot ID and not the boot clock.
func (r *Report) sameBoot(start ProcessStart) bool {
	from := r.promise().from
	step := (start.Boot - from.Boot) - (start.Wall - from.Wall)
	return r.BootID == start.BootID && step.Abs() <= mostStep
}

func (r *Report) promise() promise {
	return promise{from: ClockReading{Boot: millis(r.StartBootMs), Wall: millis(r.StartTimeMs)}, opensAfter: millis(r.LimitTTLMs)}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
