package appends

import (
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// AppliedReturns is a fold.Part that records the tokens of each applied share return, by
// writer and in order. It is safe for concurrent use.
type AppliedReturns struct {
	mu     sync.Mutex
	tokens map[string][]uint64
}

var _ fold.Part = (*AppliedReturns)(nil)

// NewAppliedReturns returns an empty AppliedReturns.
func NewAppliedReturns() *AppliedReturns { return &AppliedReturns{tokens: map[string][]uint64{}} }

// Tokens returns the tokens of a writer's applied share returns.
func (a *AppliedReturns) Tokens(writer string) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]uint64(nil), a.tokens[writer]...)
}

// Apply implements fold.Part.
func (a *AppliedReturns) Apply(position fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	if entry.GetShareReturn() == nil {
		return fold.Verdict{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens[position.Writer] = append(a.tokens[position.Writer], entry.GetShareReturn().GetTokens())
	return fold.Accept(position), true
}

// Name implements fold.Part.
func (a *AppliedReturns) Name() string { return "tally" }

// Snapshot implements fold.Part; AppliedReturns has no snapshot.
func (a *AppliedReturns) Snapshot() ([]byte, error) { return nil, nil }

// Restore implements fold.Part.
func (a *AppliedReturns) Restore([]byte) error { return nil }
