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

var errConnectionClosed = errors.New("connection closed")

func TestInterruptedStreamIsResumed(t *testing.T) {
	// The connection to the engine breaks after every second word, while the engine goes on.
	// The caller must get one complete answer and be billed once.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 2})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(len(sink.cursors), 12) // ten words, the finish reason and the usage, once each
	is.Equal(n.billedTokens(t), uint64(20))
	is.Equal(len(s.engines[0].Runs()), 1)
}

func TestDuplicateAndReorderedChunks(t *testing.T) {
	// An engine sends duplicate and swapped chunks. Forwarded unchanged, the answer would
	// have repeated and reordered words and still look complete.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{Duplicate: 2, Swap: 3})
	n := s.newServer("a")
	body, answer := prompt(20)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(40))
}

func TestEngineFailsMidAnswer(t *testing.T) {
	// An engine fails mid-answer and loses its output. Another engine answers from the start;
	// the caller must get the missing words once, not the whole answer twice.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4, Forget: true}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(sink.started, 1)
	is.Equal(n.billedTokens(t), uint64(20)) // the tokens of one answer
}

func TestSilentEngineIsReplaced(t *testing.T) {
	// An engine hangs mid-answer with its connection open. It must be abandoned after one
	// silence timeout, and another engine must deliver the rest.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{HangAfter: 3}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(10)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(20))
	is.Equal(s.engines[0].Resumes(), int64(0)) // not asked to resume
}

func TestDifferingRerunIsRejected(t *testing.T) {
	// An engine fails mid-answer, and the next one gives a different answer. Joined, the parts
	// would read as one answer that no engine gave: the stream must end with a result code
	// instead, and must not be billed.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 4, Forget: true}, standin.EngineOptions{WordPrefix: "x"})
	n := s.newServer("a")
	body, _ := prompt(10)
	sink := &testSink{stream: true}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.AnswerDiffers)
	is.Equal(sink.text(), "word0 word1 word2 word3")
	is.Equal(n.billedTokens(t), uint64(0))
	// A caller that waits for the complete answer has seen nothing yet and gets the new one.
	whole := &testSink{}
	is.NoErr(n.Chat(context.Background(), chatCall(body), whole))
	is.Equal(whole.text(), "xword0 xword1 xword2 xword3 xword4 xword5 xword6 xword7 xword8 xword9")
}

func TestCrossedAnswerIsRetriedOnAnotherEngine(t *testing.T) {
	// An engine sends the answer to another request. None of it may reach the caller.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{Cross: 1}, standin.EngineOptions{})
	n := s.newServer("a")
	body, answer := prompt(5)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	is.Equal(sink.text(), answer)
	is.Equal(n.billedTokens(t), uint64(10))
}

func TestResumeAfterNodeFailure(t *testing.T) {
	// A node dies with a stream open. The caller sends its last event id to another node and
	// must get exactly the missing chunks and the end, without being billed a second time:
	// the dead node's request is settled from the engine's count.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	dead, next := s.newServer("a"), s.newServer("b")
	body, answer := prompt(10)
	hang := make(chan struct{})
	stopped := make(chan struct{})
	first := &testSink{stream: true}
	first.atChunk = func(n int) error {
		if n == 4 {
			close(stopped)
			<-hang // the node does nothing more from here on
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
	is.Equal(next.billedTokens(t), uint64(0))
	// The caller loses the second node too, just before the end.
	again := &testSink{stream: true}
	is.NoErr(next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: rest.cursors[6]}, again))
	is.Equal(len(again.cursors), 1) // the usage chunk
	close(hang)
	<-done
}

// streamMovePeers forwards MoveStream to the first node and reports its result.
type streamMovePeers struct {
	Peers
	to    *testServer
	moved chan bool
}

func (p streamMovePeers) MoveStream(_ context.Context, _, request string) {
	p.moved <- p.to.MoveStream(request)
}

func TestResumeWhileOriginalNodeIsAlive(t *testing.T) {
	// A caller's connection stalls, and it resumes at another node before the first node
	// notices. The first node must continue and bill the whole answer once instead of
	// cancelling the engine, and its own connection must not end as complete.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	old, next := s.newServer("a"), s.newServer("b")
	moved := make(chan bool, 1)
	next.Peers = streamMovePeers{to: old, moved: moved}
	body, answer := prompt(10)
	stalled, goOn := make(chan struct{}), make(chan struct{})
	first := &testSink{stream: true}
	first.atChunk = func(n int) error {
		if n == 4 {
			close(stalled)
			<-goOn
			return errConnectionClosed
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
	is.Equal(old.billedTokens(t), uint64(20))
	is.Equal(next.billedTokens(t), uint64(0))
}

func TestInvalidCursorsAreRejected(t *testing.T) {
	// A caller sends an event id that belongs to another account, is altered, or is no cursor
	// at all. If accepted, the caller would read somebody else's answer.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
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
	// A caller resumes after the engine dropped the stream's output. It must get a result
	// code instead of a stream that ends without an error.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{Forget: true})
	n := s.newServer("a")
	body, _ := prompt(3)
	sink := &testSink{stream: true}
	is.NoErr(n.Chat(context.Background(), chatCall(body), sink))
	err := n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[0]}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.StreamLost)
}

func TestCallerDisconnects(t *testing.T) {
	// A caller closes its connection mid-answer. The engine must stop, and the account pays
	// for the prompt and the tokens generated so far, by the engine's count. A cancelled
	// stream must not resume as a complete one.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{TokenTime: time.Millisecond})
	n := s.newServer("a")
	body, _ := prompt(4000)
	sink := &testSink{stream: true}
	sink.atChunk = func(n int) error {
		if n == 10 {
			return errConnectionClosed
		}
		return nil
	}
	err := n.Chat(context.Background(), chatCall(body), sink)
	is.Equal(result.CodeOf(err), result.CallerGone)
	billed := n.billedTokens(t)
	is.True(billed >= 4010 && billed < 8000) // the prompt, and some but not all of the answer
	err = n.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[9]}, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.StreamLost)
}

func TestDeadlineExceeded(t *testing.T) {
	// A request has a deadline and its engine hangs. The error must come at the deadline, not
	// when the engine's silence timeout ends.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{TokenTime: time.Hour})
	n := s.newServer("a")
	body, _ := prompt(3)
	call := chatCall(body)
	call.Timeout = 50 * time.Millisecond
	err := n.Chat(context.Background(), call, &testSink{stream: true})
	is.Equal(result.CodeOf(err), result.DeadlineExceeded)
	n.billedTokens(t)
}

func TestPanicReleasesReservation(t *testing.T) {
	// A panic during the delivery of an answer must release the reserved tokens.
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{})
	n := s.newServer("a")
	body, _ := prompt(3)
	sink := &testSink{stream: true, atChunk: func(int) error { panic("defect") }}
	func() {
		defer func() { is.True(recover() != nil) }()
		_ = n.Chat(context.Background(), chatCall(body), sink)
	}()
	is.Equal(n.billedTokens(t), uint64(0))
	is.Equal(n.InFlight(), int64(0))
}

func TestErrorReflectsAllAttempts(t *testing.T) {
	// The first engine accepts a request and closes the connection; the second is unreachable.
	// If the caller got the second's "not run", it would assume that no engine worked on it.
	is := is.New(t)
	s := newFixture(t)
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
	is.Equal(n.billedTokens(t), uint64(0))
}
