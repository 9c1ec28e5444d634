package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/queuedelay"
)

// rushModel is a node with one slow processor, in virtual time. A request is read in one turn of the processor and, unless it is
// refused then, handled in queuedelay.ProcessorWaits-1 more; turns are taken in the order in which they were asked for.
type rushModel struct {
	now   time.Duration
	turns []turn
	// waits are those of the turns taken since the last measurement.
	waits []time.Duration
	lag   time.Duration
	// slowest holds how long the slowest request took of those that arrived in a second, refused how many were refused.
	slowest map[int]time.Duration
	refused int
}

type turn struct {
	arrived, asked time.Duration
	done           int
}

const (
	readTime   = 300 * time.Microsecond
	handleTime = 2 * time.Millisecond
	// Requests a second in usual times and in the rush, which lasts from second 2 to 8; the processor handles 158.
	usualRate, rushRate = 120, 336
	rushBegin, rushEnd  = 2, 8
	replayLength        = 14
)

// play plays a rush; refuse decides on each request as it is read.
func (m *rushModel) play(refuse func() bool) {
	m.slowest = make(map[int]time.Duration)
	var nextArrival, nextMeasurement time.Duration
	for m.now < replayLength*time.Second {
		for nextArrival <= m.now {
			rate := usualRate
			if nextArrival >= rushBegin*time.Second && nextArrival < rushEnd*time.Second {
				rate = rushRate
			}
			m.turns = append(m.turns, turn{arrived: nextArrival, asked: nextArrival})
			nextArrival += time.Second / time.Duration(rate)
		}
		if m.now >= nextMeasurement {
			m.measure()
			nextMeasurement += 100 * time.Millisecond
		}
		m.takeTurn(refuse)
	}
	for _, t := range m.turns { // not answered by the end
		m.answered(t)
	}
}

func (m *rushModel) takeTurn(refuse func() bool) {
	if len(m.turns) == 0 {
		m.now += time.Millisecond
		return
	}
	t := m.turns[0]
	m.turns = m.turns[1:]
	m.waits = append(m.waits, m.now-t.asked)
	if t.done == 0 {
		m.now += readTime
		if refuse() {
			m.refused++
			m.answered(t)
			return
		}
	} else {
		m.now += handleTime
	}
	t.asked = m.now
	if t.done++; t.done == queuedelay.ProcessorWaits {
		m.answered(t)
		return
	}
	m.turns = append(m.turns, t)
}

func (m *rushModel) answered(t turn) {
	second := int(t.arrived.Seconds())
	m.slowest[second] = max(m.slowest[second], m.now-t.arrived)
}

func (m *rushModel) measure() {
	sum := time.Duration(0)
	for _, w := range m.waits {
		sum += w
	}
	m.lag = sum / time.Duration(max(1, len(m.waits)))
	m.waits = m.waits[:0]
}

// Guards against a node that, after a rush of callers who use no other address, answers everybody late for longer than the rush lasted.
func TestBusyNodeServesSoonAfterRush(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, nil)
	m := &rushModel{}
	tg.Lag = func() time.Duration { return m.lag }
	m.play(func() bool { return tg.RefuseBusy("id", "h", "/read/", &recordingSink{}) })
	objective := tg.Catalog.Current().Match("h", "/read/").Objective
	for second := rushEnd + 2; second < replayLength-1; second++ {
		is.True(m.slowest[second] <= objective)
	}
	const beyond = (rushRate - 158) * (rushEnd - rushBegin) // requests that the processor can't handle
	t.Log(m.refused, "refused,", beyond, "beyond what the processor handles; slowest by second:", m.slowest)
	is.True(m.refused <= 2*beyond)

	without := &rushModel{}
	without.play(func() bool { return false })
	is.True(without.slowest[replayLength-2] > time.Second) // the model shows the fault
}
