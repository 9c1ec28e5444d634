package check

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/request"
)

// resumeDelay is how long a caller waits after a broken connection before it tries another
// node.
const resumeDelay = 200 * time.Millisecond

// received returns what the caller has received so far; the cursor is empty if nothing
// arrived.
func (s *sink) received() (id, cursor, text string, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.cursor, s.text.String(), s.usage.Total()
}

// resumeChat lets a caller whose node died resume the stream at another node with its last
// event ID. If that does not complete the answer, the chat stays lost.
func (h *Harness) resumeChat(op *ChatOp, account string, interrupted *sink) {
	id, cursor, text, tokens := interrupted.received()
	if cursor == "" {
		return
	}
	h.clock.Sleep(resumeDelay)
	m := h.otherServingMember(op.Node)
	if m == nil {
		return
	}
	gate := m.Gate()
	resumed := &sink{gate: gate, streams: true}
	outcome, span := h.invoke(m, gate, func(ctx context.Context) error {
		resumed.ctx = ctx
		return m.Node().Requests().ResumeChat(ctx, request.ResumeCall{Key: accountKey + account, Cursor: cursor}, resumed)
	})
	if !outcome.OK() {
		return
	}
	_, _, remainder, counted := resumed.received()
	op.Outcome, op.Return, op.Resumed = outcome, span.Return, true
	op.Request, op.Text, op.Tokens = id, text+remainder, max(tokens, counted)
}

// otherServingMember returns a live, serving member at another address, or nil.
func (h *Harness) otherServingMember(address string) *Member {
	for _, m := range h.Members {
		if m.Address() != address && m.Live() && m.Node().Serving() == nil {
			return m
		}
	}
	return nil
}
