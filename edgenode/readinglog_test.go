package edgenode

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// A reading that failed or was late must leave a line, and a store that is away for long must
// not fill the log with them.
func TestLogsReadFailureAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		events := event.NewRecorder(event.NewHLC(clockwork.NewRealClock()), "n", 64, log.NewNopLogger())
		l := &readingLog{topic: "config", events: events, clock: bubbleClock{}}
		l.caught(keyedlog.ReadStats{})
		for range 5 {
			l.lost(errors.New("away"))
		}
		l.caught(keyedlog.ReadStats{SinceLast: 6 * time.Second, Delay: 4 * time.Second, Bytes: 7})
		l.caught(keyedlog.ReadStats{Delay: lateReading})
		l.caught(keyedlog.ReadStats{Delay: lateReading + time.Millisecond, Duration: 2 * time.Second})
		var numbers []event.Number
		recorded, _ := events.After(0, 64)
		for _, e := range recorded {
			numbers = append(numbers, e.Number)
		}
		is.Equal(numbers, []event.Number{event.LogUnreachable, event.LogReachable, event.LogReadLate})
		is.Equal(recorded[1].Fields["failed"], "5")
		is.Equal(recorded[1].Fields["bytes"], "7")
		is.Equal(recorded[2].Fields["took_ms"], "2000")

		n := &Node{readings: []*readingLog{l}, deps: Deps{Clock: bubbleClock{}}}
		time.Sleep(time.Second)
		is.Equal(n.TopicStats()["config"], TopicStats{AgeMs: 1000, Failures: 5})
	})
}
