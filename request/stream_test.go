package request

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/signed"
)

var errGone = errors.New("connection closed")

func TestInterruptedStreamIsResumed(t *testing.T) {
	// The connection to the engine breaks every second word, while the engine goes on.
	// The caller must see one whole answer and be billed for one.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{CutAfter: 2})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(len(sink.cursors), 12) // ten words, the end and the usage, each once
	is.Equal(n.settled(t), uint64(20))
	is.Equal(len(s.engines[0].Served()), 1)
}

func TestDuplicateAndReorderedChunks(t *testing.T) {
	// An engine sends chunks twice and swapped. Passed on as they come, the summary
	// would repeat and shuffle words and still look whole.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{Duplicate: 2, Swap: 3})
	n := s.newServer("a")
	body, answer := prompt(20)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.settled(t), uint64(40))
}

func TestEngineFailsMidAnswer(t *testing.T) {
	// An engine dies within an answer and its output with it. Another one answers
	// again; the caller must get the missing words once, not the answer twice.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{CutAfter: 4, Forget: true}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(sink.started, 1)
	is.Equal(n.settled(t), uint64(20)) // one answer's tokens
}

func TestSilentEngineIsReplaced(t *testing.T) {
	// An engine hangs within an answer while its connection stays open. It must be
	// given up on after one silence, and another engine bring the rest.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{HangAfter: 3}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.settled(t), uint64(20))
	is.Equal(s.engines[0].Resumed(), int64(0)) // not asked for the rest
}

func TestDifferingRerunIsRejected(t *testing.T) {
	// An engine dies within an answer, and the next one words it differently. Joined,
	// the halves would read as one answer that no engine gave: the stream must end
	// with a numbered error instead, and is not billed.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{CutAfter: 4, Forget: true}, standin.EngineOptions{Vary: "x"})
	n := s.newServer("a")
	body, _ := prompt(10)
	sink := &testSink{stream: true}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.AnswerDiffers)
	is.Equal(sink.text(), "word0 word1 word2 word3")
	is.Equal(n.settled(t), uint64(0))
	// A caller that waits for the whole answer has seen nothing yet and gets the other.
	whole := &testSink{}
	is.NoErr(n.Chat(context.Background(), chatCall(body), whole))
	is.Equal(whole.text(), "xword0 xword1 xword2 xword3 xword4 xword5 xword6 xword7 xword8 xword9")
}

func TestCrossedAnswerIsRetriedOnAnotherEngine(t *testing.T) {
	// An engine answers for somebody else's request. Nothing of it may reach the caller.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{Cross: 1}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(5)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.settled(t), uint64(10))
}

func TestResumeAfterNodeFailure(t *testing.T) {
	// A node dies with a stream open. The caller brings its last event id to another
	// node and must get exactly the missing chunks and the end, and nobody may bill
	// it a second time: the dead node's request is settled from the engine's count.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{})
	dead, next := s.newServer("a"), s.newServer("b")
	body, answer := prompt(10)
	hang := make(chan struct{})
	stopped := make(chan struct{})
	first := &testSink{stream: true}
	first.atChunk = func(n int) error {
		if n == 4 {
			close(stopped)
			<-hang // from here on the node does nothing more
		}
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = dead.Chat(context.Background(), chatCall(body), first)
	}()
	<-stopped
	rest := &testSink{stream: true}
	is.NoErr(next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: first.cursors[3]}, rest))
	is.Equal(first.text()+" "+rest.text(), answer)
	is.Equal(len(first.cursors)+len(rest.cursors), 12)
	is.Equal(next.settled(t), uint64(0))
	// The caller loses the second node too, right before the end.
	again := &testSink{stream: true}
	is.NoErr(next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: rest.cursors[6]}, again))
	is.Equal(len(again.cursors), 1) // the usage
	close(hang)
	<-done
}

// movedPeers tells the first node when a caller reads on at another.
type movedPeers struct {
	Peers
	to    *testServer
	moved chan bool
}

func (p movedPeers) MoveStream(_ context.Context, _, request string) {
	p.moved <- p.to.MoveStream(request)
}

func TestResumeWhileOriginalNodeIsAlive(t *testing.T) {
	// A caller's connection stalls, and it reads on at another node before the first
	// one notices. The first must go on and bill the whole answer once, rather than
	// cancel the engine under the caller; its own connection must not end as whole.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{})
	old, next := s.newServer("a"), s.newServer("b")
	moved := make(chan bool, 1)
	next.Peers = movedPeers{to: old, moved: moved}
	body, answer := prompt(10)
	stalled, goOn := make(chan struct{}), make(chan struct{})
	first := &testSink{stream: true}
	first.atChunk = func(n int) error {
		if n == 4 {
			close(stalled)
			<-goOn
			return errGone
		}
		return nil
	}
	ended := make(chan error, 1)
	go func() { ended <- old.Chat(context.Background(), chatCall(body), first) }()
	<-stalled
	rest := &testSink{stream: true}
	is.NoErr(next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: first.cursors[3]}, rest))
	is.True(<-moved)
	close(goOn)
	is.Equal(result.CodeOf(<-ended), result.CallerGone)
	is.Equal(first.text()+" "+rest.text(), answer)
	is.Equal(old.settled(t), uint64(20))
	is.Equal(next.settled(t), uint64(0))
}

func TestInvalidCursorsAreRejected(t *testing.T) {
	// A caller sends an event id that isn't its own, that it has altered, or that is
	// no cursor at all. Taken, it would read somebody else's answer.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{})
	n := s.newServer("a")
	body, _ := prompt(3)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	good := sink.cursors[0]
	cursor, err := n.openCursor("account", good)
	is.NoErr(err)
	foreign := signed.NewSigner([]byte("of another fleet"), CursorPurpose).Sign(cursor)
	for _, call := range []ResumeCall{
		{Key: otherKey, Cursor: good},
		{Key: testKey, Cursor: "A" + good[1:]},
		{Key: testKey, Cursor: good[:len(good)-1]},
		{Key: testKey, Cursor: ""},
		{Key: testKey, Cursor: "0"},
		{Key: testKey, Cursor: foreign},
	} {
		err := n.ResumeChat(context.Background(), call, &testSink{stream: true})
		is.Equal(result.CodeOf(err), result.InvalidCursor)
	}
	is.NoErr(n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: good}, &testSink{stream: true}))
	n.Clock = clockwork.NewFakeClockAt(time.Now().Add(2 * cursorLifetime))
	err = n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: good}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.InvalidCursor)
}

func TestResumeAfterEngineDroppedOutput(t *testing.T) {
	// A caller comes back when the engine has dropped the stream's output. It must
	// learn that by a number, and not be left with a silent cut.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{Forget: true})
	n := s.newServer("a")
	body, _ := prompt(3)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	err := n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[0]}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.StreamLost)
}

func TestCallerDisconnects(t *testing.T) {
	// A caller closes its connection within an answer. The engine must stop, and the
	// account pays for the prompt and what was generated until then, by the engine's
	// count; a cancelled stream can't be taken for a whole one afterwards.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{TokenTime: time.Millisecond})
	n := s.newServer("a")
	body, _ := prompt(4000)
	sink := &testSink{stream: true}
	sink.atChunk = func(n int) error {
		if n == 10 {
			return errGone
		}
		return nil
	}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.CallerGone)
	billed := n.settled(t)
	is.True(billed >= 4010 && billed < 8000) // prompt, and some but not all of the answer
	err = n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[9]}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.StreamLost)
}

func TestDeadlineExceeded(t *testing.T) {
	// A caller gives its request a deadline and the engine hangs. The answer must come
	// at the deadline and not when the engine is given up on.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{TokenTime: time.Hour})
	n := s.newServer("a")
	body, _ := prompt(3)
	call := chatCall(body)
	call.Timeout = 50 * time.Millisecond
	err := n.Chat(context.Background(), call, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.DeadlineExceeded)
	n.settled(t)
}

func TestPanicReleasesReservation(t *testing.T) {
	// A defect hits while an answer is passed on. Its tokens must come back.
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{})
	n := s.newServer("a")
	body, _ := prompt(3)
	sink := &testSink{stream: true, atChunk: func(int) error { panic("defect") }}
	func() {
		defer func() { is.True(recover() != nil) }()
		_ = n.Chat(context.Background(), chatCall(body), sink)
	}()
	is.Equal(n.settled(t), uint64(0))
	is.Equal(n.InFlight(), int64(0))
}

func TestErrorReflectsAllAttempts(t *testing.T) {
	// The first engine takes a request and hangs up, the second can't be reached. Told
	// "not run" for the second's sake, a caller would think that nobody worked on it.
	is := is.New(t)
	s := newSite(t)
	hangsUp, closed := s.listen(), s.listen()
	is.NoErr(closed.Close())
	t.Cleanup(func() { _ = hangsUp.Close() })
	go func() {
		for {
			conn, err := hangsUp.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	s.declareUpstream("engine-0", "chat", hangsUp.Addr().String())
	s.declareUpstream("engine-1", "chat", closed.Addr().String())
	s.apply()
	n := s.newServer("a")
	body, _ := prompt(3)
	err := n.Chat(context.Background(), chatCall(body), &testSink{})
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.True(!result.From(err).NotRun())
	is.Equal(n.settled(t), uint64(0))
}
