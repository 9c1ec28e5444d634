package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// streamCall is a call with a prompt that no other call has.
type streamCall struct {
	body   []byte
	answer string
	// disconnectAt is the chunk before which the caller disconnects; -1 for never.
	disconnectAt int
}

func newStreamCall(i int, random *rand.Rand) streamCall {
	var words []string
	for k := range 1 + random.IntN(30) {
		words = append(words, fmt.Sprintf("caller%d-word%d", i, k))
	}
	answer := strings.Join(words, " ")
	call := streamCall{answer: answer, disconnectAt: -1,
		body: fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"content":%q}]}`, testModel, len(words), answer)}
	if random.IntN(3) == 0 {
		call.disconnectAt = random.IntN(len(words) + 1)
	}
	return call
}

// run sends the call and, after disconnecting, resumes it at the next node.
func (c streamCall) run(first, next *testServer) (text string, err error) {
	sink := &testSink{stream: true}
	sink.atChunk = func(n int) error {
		if n == c.disconnectAt {
			return errConnectionClosed
		}
		return nil
	}
	err = first.Chat(context.Background(), chatCall(c.body), sink)
	if c.disconnectAt <= 0 || len(sink.cursors) == 0 {
		return sink.text(), err
	}
	rest := &testSink{stream: true}
	err = next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[len(sink.cursors)-1]}, rest)
	return strings.TrimSpace(sink.text() + " " + rest.text()), err
}

func TestConcurrentStreams(t *testing.T) {
	// Many callers stream at once from engines that cut, duplicate, swap and cross their
	// answers, and a third of them disconnect and resume at another node. What a caller got
	// must be a prefix of its own answer, all of it if the stream ended without an error, and
	// no token may stay reserved.
	const callers = 300
	is := is.New(t)
	s := newFixture(t, standin.EngineOptions{CutAfter: 3, Swap: 4, Duplicate: 5, Cross: 4}, standin.EngineOptions{CutAfter: 7}, standin.EngineOptions{})
	nodes := []*testServer{s.newServer("a"), s.newServer("b")}
	random := rand.New(rand.NewPCG(6, 6))
	var wait sync.WaitGroup
	var whole atomic.Int64
	for i := range callers {
		call := newStreamCall(i, random)
		first := random.IntN(len(nodes))
		wait.Go(func() {
			text, err := call.run(nodes[first], nodes[1-first])
			if !strings.HasPrefix(call.answer, text) {
				t.Errorf("caller %d got %q", i, text)
			}
			if (err == nil) != (text == call.answer) && result.CodeOf(err) != result.StreamLost && result.CodeOf(err) != result.CallerGone {
				t.Errorf("caller %d: %v with %d of %d bytes", i, err, len(text), len(call.answer))
			}
			if err == nil {
				whole.Add(1)
			}
			if err == nil && text != call.answer {
				t.Errorf("caller %d: whole with %q", i, text)
			}
		})
	}
	wait.Wait()
	is.True(whole.Load() > callers/2) // the others disconnected
	for _, n := range nodes {
		n.billedTokens(t)
	}
	is.Equal(nodes[0].InFlight()+nodes[1].InFlight(), int64(0))
}
