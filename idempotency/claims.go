package idempotency

import (
	"bytes"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// Limits bound the claims held. All nodes of a fleet must use the same ones, or
// their folds differ.
type Limits struct {
	// RetentionOffsets is how far the log moves on before a claim is forgotten.
	RetentionOffsets uint64
	// MinRetentionOffsets is how far it moves on at the least, also when the account is full.
	MinRetentionOffsets uint64
	// MaxPerAccount is how many claims of one account are held beyond MinOffsets. When
	// so many are younger, new ones are refused: forgetting a young claim instead
	// would let its call run a second time.
	MaxPerAccount int
}

// DefaultLimits keep a claim for at least eight minutes at four hundred appends a
// second and for days in quiet running. A key must not be sent again after that.
// Offsets are counted and not time, since a node whose clock runs ahead would make
// the whole fleet forget too early.
func DefaultLimits() Limits {
	return Limits{RetentionOffsets: 2_000_000, MinRetentionOffsets: 200_000, MaxPerAccount: 200_000}
}

// Claims folds the claims of calls. One goroutine applies; Get is safe for
// concurrent use.
type Claims struct {
	limits Limits

	mu       sync.RWMutex
	claims   map[ID]Claim
	accounts map[string]*accountClaims
}

// accountClaims lists the claims of one account by offset, the oldest first. A claim
// that was given up leaves a stale element behind.
type accountClaims struct {
	order []placed
	held  int
}

// placed is where a claim stands in the log.
type placed struct {
	Key    string
	Offset uint64
}

var _ fold.Part = (*Claims)(nil)

// NewClaims returns an empty part.
func NewClaims(limits Limits) *Claims {
	return &Claims{limits: limits, claims: map[ID]Claim{}, accounts: map[string]*accountClaims{}}
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
	id := ID{entry.GetAccount(), entry.GetKey()}
	account := c.account(id.Account)
	c.forget(id.Account, account, at.Offset)
	if held, taken := c.claims[id]; taken {
		return fold.Refuse(at, held.refusal(entry.GetDigest()), "the key is claimed already")
	}
	if account.held >= c.limits.MaxPerAccount {
		return fold.Refuse(at, result.KeysExhausted, "the account holds too many keys")
	}
	c.put(id, Claim{Owner: at.Writer, Digest: string(entry.GetDigest()), Offset: at.Offset})
	return fold.Accept(at)
}

func (c *Claims) put(id ID, claim Claim) {
	c.claims[id] = claim
	account := c.account(id.Account)
	account.order = append(account.order, placed{id.Key, claim.Offset})
	account.held++
}

func (c *Claims) account(name string) *accountClaims {
	account := c.accounts[name]
	if account == nil {
		account = &accountClaims{}
		c.accounts[name] = account
	}
	return account
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
	c.accounts[id.Account].held--
}

// forget drops the claims of an account that the log has left far behind, and the
// oldest of a full one. It depends on the entries alone, so every node forgets the
// same ones at the same place.
func (c *Claims) forget(name string, account *accountClaims, offset uint64) {
	for len(account.order) > 0 {
		oldest := account.order[0]
		held, known := c.claims[ID{name, oldest.Key}]
		stale := !known || held.Offset != oldest.Offset
		full := account.held >= c.limits.MaxPerAccount
		old := oldest.Offset+c.limits.RetentionOffsets < offset || (full && oldest.Offset+c.limits.MinRetentionOffsets < offset)
		if !stale && !old {
			return
		}
		account.order = account.order[1:]
		if !stale {
			c.remove(ID{name, oldest.Key})
		}
	}
}
