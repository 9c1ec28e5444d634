package check

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/request"
)

// resumeAfter is how long a caller whose connection broke waits before it asks
// another node.
const resumeAfter = 200 * time.Millisecond

// had returns what reached the caller so far; no cursor when nothing did.
func (s *sink) had() (id, cursor, text string, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.cursor, s.text.String(), s.usage.Total()
}

// readOn lets a caller whose node died bring its last event id to another node. When
// that doesn't end the answer whole, it stays lost.
func (h *Harness) readOn(op *ChatOp, account string, before *sink) {
	id, cursor, text, tokens := before.had()
	if cursor == "" {
		return
	}
	h.clock.Sleep(resumeAfter)
	m := h.otherThan(op.Node)
	if m == nil {
		return
	}
	gate := m.Gate()
	rest := &sink{gate: gate, streams: true}
	outcome, span := h.ask(m, gate, func(ctx context.Context) error {
		rest.ctx = ctx
		return m.Node().Requests().ResumeChat(ctx, request.ResumeCall{Key: accountKey + account, Cursor: cursor}, rest)
	})
	if !outcome.OK() {
		return
	}
	_, _, more, counted := rest.had()
	op.Outcome, op.Return, op.Resumed = outcome, span.Return, true
	op.Request, op.Text, op.Tokens = id, text+more, max(tokens, counted)
}

// otherThan returns a live member at another address; nil when there is none.
func (h *Harness) otherThan(address string) *Member {
	for _, m := range h.Members {
		if m.Address() != address && m.Live() && m.Node().Serving() == nil {
			return m
		}
	}
	return nil
}
