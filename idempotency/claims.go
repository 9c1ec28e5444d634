package idempotency

import (
	"bytes"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// KeepOffsets is how far the log moves on before a claim is forgotten. The log
	// takes several hundred appends a second, so a claim is kept for at least half
	// a day and for weeks in quiet running. A key must not be sent again after that.
	KeepOffsets = 20_000_000
	// MaxPerAccount bounds the claims held for one account. When it is reached new
	// claims are refused: forgetting a young claim instead would let its call run
	// a second time.
	MaxPerAccount = 100_000
)

// Claims folds the claims of calls. One goroutine applies; Get is safe for
// concurrent use.
type Claims struct {
	keep       uint64
	perAccount int

	mu     sync.RWMutex
	claims map[ID]Claim
	// order holds the claims by offset, the oldest first, for forgetting. A claim
	// that was given up leaves a stale element behind.
	order []placed
	held  map[string]int
}

// placed is where a claim stands in the log.
type placed struct {
	ID     ID
	Offset uint64
}

var _ fold.Part = (*Claims)(nil)

// NewClaims returns an empty part with the usual bounds.
func NewClaims() *Claims { return NewClaimsBounded(KeepOffsets, MaxPerAccount) }

// NewClaimsBounded returns an empty part with bounds of its own. All nodes of a
// fleet must use the same ones, or their folds differ.
func NewClaimsBounded(keepOffsets uint64, perAccount int) *Claims {
	return &Claims{keep: keepOffsets, perAccount: perAccount, claims: map[ID]Claim{}, held: map[string]int{}}
}

// Name implements fold.Part.
func (c *Claims) Name() string { return "claims" }

// Get returns a claim; false when the key isn't claimed.
func (c *Claims) Get(id ID) (Claim, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	claim, known := c.claims[id]
	return claim, known
}

// Len returns how many claims are held.
func (c *Claims) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.claims)
}

// Apply implements fold.Part.
func (c *Claims) Apply(at fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	switch body := entry.GetBody().(type) {
	case *recordv1.Entry_CallClaim:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.claim(at, body.CallClaim), true
	case *recordv1.Entry_CallOutcome:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.outcome(at, body.CallOutcome), true
	}
	return fold.Verdict{}, false
}

func (c *Claims) claim(at fold.Position, entry *recordv1.CallClaim) fold.Verdict {
	c.forget(at.Offset)
	id := ID{entry.GetAccount(), entry.GetKey()}
	if held, taken := c.claims[id]; taken {
		return fold.Refuse(at, held.refusal(entry.GetDigest()), "the key is claimed already")
	}
	if c.held[id.Account] >= c.perAccount {
		return fold.Refuse(at, result.KeysExhausted, "the account holds too many keys")
	}
	c.put(id, Claim{Owner: at.Writer, Digest: string(entry.GetDigest()), Offset: at.Offset})
	return fold.Accept(at)
}

func (c *Claims) put(id ID, claim Claim) {
	c.claims[id] = claim
	c.order = append(c.order, placed{id, claim.Offset})
	c.held[id.Account]++
}

// refusal returns the code for a second claim of the key.
func (c Claim) refusal(digest []byte) result.Code {
	if !bytes.Equal([]byte(c.Digest), digest) {
		return result.KeyReused
	}
	if c.End == recordv1.CallEnd_CALL_END_UNSPECIFIED {
		return result.CallInProgress
	}
	return result.AlreadyRan
}

// outcome notes what became of a call. Only the owner knows: an outcome from
// another node, or one that comes after a first one, has no effect.
func (c *Claims) outcome(at fold.Position, entry *recordv1.CallOutcome) fold.Verdict {
	id := ID{entry.GetAccount(), entry.GetKey()}
	claim, known := c.claims[id]
	if !known || claim.Owner != at.Writer || claim.End != recordv1.CallEnd_CALL_END_UNSPECIFIED {
		return fold.Refuse(at, result.NotHolder, "the writer doesn't own the claim")
	}
	if entry.GetEnd() == recordv1.CallEnd_CALL_END_NOT_RUN {
		c.remove(id)
		return fold.Accept(at)
	}
	claim.End, claim.Status = entry.GetEnd(), entry.GetStatus()
	c.claims[id] = claim
	return fold.Accept(at)
}

func (c *Claims) remove(id ID) {
	delete(c.claims, id)
	c.held[id.Account]--
	if c.held[id.Account] <= 0 {
		delete(c.held, id.Account)
	}
}

// forget drops the claims that the log has left far behind. It depends on offsets
// alone, so every node forgets the same ones at the same place.
func (c *Claims) forget(offset uint64) {
	for len(c.order) > 0 && c.order[0].Offset+c.keep < offset {
		oldest := c.order[0]
		c.order = c.order[1:]
		if held, known := c.claims[oldest.ID]; known && held.Offset == oldest.Offset {
			c.remove(oldest.ID)
		}
	}
}
