package appends

import (
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// AppliedReturns is a fold.Part that keeps what took effect: the tokens of each share return, by
// writer and in order. It is safe for concurrent use.
type AppliedReturns struct {
	mu     sync.Mutex
	tokens map[string][]uint64
}

var _ fold.Part = (*AppliedReturns)(nil)

// NewAppliedReturns returns an empty tally.
func NewAppliedReturns() *AppliedReturns { return &AppliedReturns{tokens: map[string][]uint64{}} }

// Tokens returns what took effect of one writer's entries.
func (t *AppliedReturns) Tokens(writer string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.tokens[writer]...)
}

// Apply implements fold.Part.
func (t *AppliedReturns) Apply(at fold.Position, e *recordv1.Entry) (fold.Verdict, bool) {
	if e.GetShareReturn() == nil {
		return fold.Verdict{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens[at.Writer] = append(t.tokens[at.Writer], e.GetShareReturn().GetTokens())
	return fold.Accept(at), true
}

// Name implements fold.Part.
func (t *AppliedReturns) Name() string { return "tally" }

// Snapshot implements fold.Part; a tally has none.
func (t *AppliedReturns) Snapshot() ([]byte, error) { return nil, nil }

// Restore implements fold.Part.
func (t *AppliedReturns) Restore([]byte) error { return nil }
