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

// manyCall is one caller with a prompt that no other has.
type manyCall struct {
	body   []byte
	answer string
	// leaveAt is the chunk before which it hangs up; -1 never.
	leaveAt int
}

func newManyCall(i int, random *rand.Rand) manyCall {
	var words []string
	for k := range 1 + random.IntN(30) {
		words = append(words, fmt.Sprintf("caller%d-word%d", i, k))
	}
	answer := strings.Join(words, " ")
	call := manyCall{answer: answer, leaveAt: -1,
		body: fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"content":%q}]}`, testModel, len(words), answer)}
	if random.IntN(3) == 0 {
		call.leaveAt = random.IntN(len(words) + 1)
	}
	return call
}

// run sends the call, and reads on at the next node after hanging up.
func (c manyCall) run(first, next *testServer) (text string, err error) {
	sink := &testSink{stream: true}
	sink.atChunk = func(n int) error {
		if n == c.leaveAt {
			return errGone
		}
		return nil
	}
	err = first.Chat(context.Background(), chatCall(c.body), sink)
	if c.leaveAt <= 0 || len(sink.cursors) == 0 {
		return sink.text(), err
	}
	rest := &testSink{stream: true}
	err = next.ResumeChat(context.Background(), ResumeCall{Key: testKey, Cursor: sink.cursors[len(sink.cursors)-1]}, rest)
	return strings.TrimSpace(sink.text() + " " + rest.text()), err
}

func TestConcurrentStreams(t *testing.T) {
	// Many callers stream at once over engines that cut, double, swap and cross their
	// answers, and a third of them hang up and read on at another node. Whatever a
	// caller has at the end must be a part of its own answer, the whole of it when the
	// end says so, and no token may stay reserved.
	const callers = 300
	is := is.New(t)
	s := newSite(t, standin.EngineOptions{CutAfter: 3, Swap: 4, Duplicate: 5, Cross: 4}, standin.EngineOptions{CutAfter: 7}, standin.EngineOptions{})
	nodes := []*testServer{s.newServer("a"), s.newServer("b")}
	random := rand.New(rand.NewPCG(6, 6))
	var wait sync.WaitGroup
	var whole atomic.Int64
	for i := range callers {
		call := newManyCall(i, random)
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
	is.True(whole.Load() > callers/2) // the others hung up
	for _, n := range nodes {
		n.settled(t)
	}
	is.Equal(nodes[0].InFlight()+nodes[1].InFlight(), int64(0))
}
