package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a node that keeps sending requests to a dead engine because the events that
// would revoke its view of the engine's cache never come: callers with a cached prefix would
// each wait for a retry, or lose their requests.
func TestFindsWorkForADeadEngine(t *testing.T) {
	is := is.New(t)
	died := time.Unix(1000, 0)
	record := func(after time.Duration) *Record {
		r := &Record{EngineDiedAlone: true, EngineOutages: []fake.EngineOutage{{Upstream: "engine", From: died}}}
		for range maxDeadEngineProbes + 1 {
			r.Attempts = append(r.Attempts, fake.Attempt{Upstream: "engine", Node: "node", At: died.Add(after)})
		}
		return r
	}
	is.True(violates(Check(record(outageDetectionLimit+1)), NoWorkForDeadEngine))
	is.True(!violates(Check(record(outageDetectionLimit)), NoWorkForDeadEngine))
}

// Guards against a caller that gets an error when an engine dies during a response, though
// another engine could have answered.
func TestFindsAnAnswerLostWithAnEngine(t *testing.T) {
	is := is.New(t)
	lost := ChatOp{Outcome: Outcome{Code: result.AnswerCut}}
	is.True(violates(Check(&Record{EngineDiedAlone: true, Chats: []ChatOp{lost}}), WholeAnswer))
	refused := ChatOp{Outcome: Outcome{Code: result.NoUpstream}}
	is.True(!violates(Check(&Record{EngineDiedAlone: true, Chats: []ChatOp{refused}}), WholeAnswer))
}

// The harness's engines publish cache events, late and with gaps when configured so: a
// matrix row over events that never come would test nothing.
func TestEnginesPublishCacheEvents(t *testing.T) {
	is := is.New(t)
	fault, _ := FaultNamed("cache events with gaps")
	_, coverage := runCell(t, Cell{Injections: []Injection{{Fault: fault, Step: fake.StepDispatch, Nth: 1}}, Seed: 1})
	is.Equal(coverage.Missing, "")
}
