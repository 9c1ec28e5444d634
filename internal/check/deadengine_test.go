package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/result"
)

// An engine dies, and the events that would take back what it was thought to hold never
// come. A node that goes on sending requests with that beginning there makes their
// callers wait for a retry each time, or loses them.
func TestFindsWorkForADeadEngine(t *testing.T) {
	is := is.New(t)
	died := time.Unix(1000, 0)
	record := func(after time.Duration) *Record {
		r := &Record{EngineDiedAlone: true, EngineDeaths: []fake.EngineOutage{{Upstream: "engine", From: died}}}
		for range deadProbes + 1 {
			r.Attempts = append(r.Attempts, fake.Attempt{Upstream: "engine", Node: "node", At: died.Add(after)})
		}
		return r
	}
	is.True(broke(Check(record(deathNoticed+1)), NoWorkForDeadEngine))
	is.True(!broke(Check(record(deathNoticed)), NoWorkForDeadEngine))
}

// An engine dies within an answer and the caller gets an error, though another engine
// could have answered.
func TestFindsAnAnswerLostWithAnEngine(t *testing.T) {
	is := is.New(t)
	lost := ChatOp{Outcome: Outcome{Code: result.AnswerCut}}
	is.True(broke(Check(&Record{EngineDiedAlone: true, Chats: []ChatOp{lost}}), WholeAnswer))
	refused := ChatOp{Outcome: Outcome{Code: result.NoUpstream}}
	is.True(!broke(Check(&Record{EngineDiedAlone: true, Chats: []ChatOp{refused}}), WholeAnswer))
}

// The engines of the harness publish cache events, late and with gaps when told so: a
// matrix row over events that never come would prove nothing.
func TestEnginesPublishCacheEvents(t *testing.T) {
	is := is.New(t)
	fault, _ := FaultNamed("cache events with gaps")
	_, reach := play(t, Cell{Injections: []Injection{{Fault: fault, Step: fake.StepDispatch, Nth: 1}}, Seed: 1})
	is.Equal(reach.Missing, "")
}
