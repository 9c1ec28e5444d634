package event

import (
	"errors"
	"testing"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func newTestRecorder(capacity int) *Recorder {
	return NewRecorder(NewHLC(clockwork.NewFakeClock()), "a", capacity, log.NewNopLogger())
}

// A value that changes after it was recorded must not change the story.
func TestRecordedValuesAreImmutable(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder(4)
	list := []int{1}
	r.Record(NodeServing, "list", list, "why", errors.New("first"), "n", uint64(7), "nothing", nil)
	list[0] = 2
	events, dropped := r.Find("")
	is.Equal(dropped, uint64(0))
	is.Equal(events[0].Fields, map[string]string{"list": "[1]", "why": "first", "n": "7", "nothing": "<nil>"})
}

// A busy node's ring runs over. Whoever reads it must see that events are missing.
func TestDroppedEventsAreCounted(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder(3)
	for i := range 5 {
		r.Record(NodeServing, "n", i)
	}
	events, dropped := r.Find("")
	is.Equal(len(events), 3)
	is.Equal(events[0].Fields["n"], "2")
	is.Equal(dropped, uint64(2))
	newest, left := r.After(events[0].Timestamp, 1)
	is.Equal(len(newest), 1)
	is.Equal(newest[0].Fields["n"], "4")
	is.Equal(left, uint64(1))
}
