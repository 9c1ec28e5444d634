package request

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a running stream being cut because its engine says that it is leaving.
func TestRunningStreamOutlastsAnnouncementOfLeaving(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n, _, _ := s.newGuardedServer("a")
	s.engines[0].Leaving().Announce(true)
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink)) // says so at its beginning
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(20))
	err := n.Chat(context.Background(), chatCall(body), &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.True(result.From(err).NotRun())
	is.Equal(len(s.engines[0].Runs()), 1)
}

// Guards against the rest of a broken stream being asked for at an engine that said that it is
// leaving.
func TestInterruptedStreamIsNotResumedAtLeavingEngine(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4}, standin.EngineOptions{})
	n, _, sent := s.newGuardedServer("a")
	s.engines[0].Leaving().Announce(true)
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(s.engines[0].Resumes(), int64(0))
	is.Equal(<-sent.cancelled, "engine-0")
}

// Guards against a caller that waits for a stream which its leaving engine won't give.
func TestCallersStreamAtLeavingEngineIsLost(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n, access, _ := s.newGuardedServer("a")
	body, _ := prompt(5)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	access.leave("engine-0")
	err := n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[1]}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.StreamLost)
	is.True(!result.From(err).NotRun())
	is.Equal(s.engines[0].Resumes(), int64(0))
}

// Guards against a request at a leaving engine that is neither cancelled nor billed by the
// engine's count when its caller leaves.
func TestRequestAtLeavingEngineIsSettled(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{TokenTime: time.Millisecond})
	n, _, sent := s.newGuardedServer("a")
	s.engines[0].Leaving().Announce(true)
	ctx, cancel := context.WithCancel(context.Background())
	body, _ := prompt(1000)
	sink := &testSink{stream: true}
	sink.atChunk = func(chunk int) error {
		if chunk == 3 {
			cancel()
		}
		return nil
	}
	is.Equal(result.CodeOf(n.Chat(ctx, chatCall(body), sink)), result.CallerGone)
	is.Equal(<-sent.cancelled, "engine-0")
	is.Equal(<-sent.queried, "engine-0")
	is.True(n.billedTokens(t) >= uint64(1004)) // the prompt and what was generated
}
