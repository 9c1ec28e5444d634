package request

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against an answer whose rest comes from another version of the engines' software: it is cut, even though the
// other version agrees with what the caller has, and is not billed.
func TestAnswerIsNotFinishedByAnotherVersion(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4, Forget: true, Version: "v1"}, standin.EngineOptions{Version: "v2"})
	n := s.newServer("a")
	body, _ := prompt(10)
	sink := &testSink{stream: true}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.True(err != nil)
	is.True(!result.From(err).NotRun())
	is.Equal(sink.text(), "word0 word1 word2 word3")
	is.Equal(n.billedTokens(t), uint64(0))
}

// Guards against cutting an answer although an engine of its version is left.
func TestAnswerIsFinishedByItsVersion(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4, Forget: true, Version: "v1"}, standin.EngineOptions{Version: "v2"}, standin.EngineOptions{Version: "v1"})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(20))
}

// Guards against failing a caller who waits for the whole answer: nothing of the lost one has reached it, and another
// version may give its own.
func TestAnswerThatNobodySawBeginsAtAnyVersion(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4, Forget: true, Version: "v1"}, standin.EngineOptions{Version: "v2", WordPrefix: "x"})
	n := s.newServer("a")
	body, _ := prompt(2)
	sink := &testSink{}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.True(sink.text() == "word0 word1" || sink.text() == "xword0 xword1")
}
