package idempotency

import (
	"bytes"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// Limits bound the claims that are kept. All nodes of a fleet must use the same limits,
// or their folded states diverge.
type Limits struct {
	// RetentionOffsets is the number of log offsets after which a claim expires.
	RetentionOffsets uint64
	// MinRetentionOffsets is the minimum retention, also if the account is at its limit.
	MinRetentionOffsets uint64
	// MaxPerAccount is the limit of claims per account. At the limit, claims older than
	// MinRetentionOffsets are evicted. If all are younger, new claims are refused:
	// evicting a recent claim would let its call run a second time.
	MaxPerAccount int
}

// DefaultLimits keeps a claim for at least eight minutes at 400 appends per second, and
// for days under low load. A key must not be reused after that. Retention is counted in
// offsets rather than time, since a node whose clock is fast would make the whole fleet
// evict claims too early.
func DefaultLimits() Limits {
	return Limits{RetentionOffsets: 2_000_000, MinRetentionOffsets: 200_000, MaxPerAccount: 200_000}
}

// Claims is the fold part that holds the claims of calls. Only one goroutine may call
// Apply; Get is safe for concurrent use.
type Claims struct {
	limits Limits

	mu       sync.RWMutex
	claims   map[ID]Claim
	accounts map[string]*accountClaims
}

// accountClaims queues the claims of one account by offset, oldest first. A released
// claim leaves a stale element in the queue.
type accountClaims struct {
	queue []claimRef
	live  int
}

// claimRef refers to a claim by its key and log offset.
type claimRef struct {
	Key    string
	Offset uint64
}

var _ fold.Part = (*Claims)(nil)

// NewClaims returns an empty set of claims.
func NewClaims(limits Limits) *Claims {
	return &Claims{limits: limits, claims: map[ID]Claim{}, accounts: map[string]*accountClaims{}}
}

// Name implements fold.Part.
func (c *Claims) Name() string { return "claims" }

// Get returns the claim of a call, and false if the key isn't claimed.
func (c *Claims) Get(id ID) (Claim, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	claim, known := c.claims[id]
	return claim, known
}

// Len returns the number of claims.
func (c *Claims) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.claims)
}

// Apply implements fold.Part.
func (c *Claims) Apply(pos fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	switch body := entry.GetBody().(type) {
	case *recordv1.Entry_CallClaim:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.applyClaim(pos, body.CallClaim), true
	case *recordv1.Entry_CallOutcome:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.applyOutcome(pos, body.CallOutcome), true
	}
	return fold.Verdict{}, false
}

func (c *Claims) applyClaim(pos fold.Position, entry *recordv1.CallClaim) fold.Verdict {
	id := ID{entry.GetAccount(), entry.GetKey()}
	account := c.account(id.Account)
	c.evict(id.Account, account, pos.Offset)
	if existing, taken := c.claims[id]; taken {
		return fold.Refuse(pos, existing.conflictCode(entry.GetDigest()), "the key is claimed already")
	}
	if account.live >= c.limits.MaxPerAccount {
		return fold.Refuse(pos, result.KeysExhausted, "the account holds too many keys")
	}
	c.insert(id, Claim{Owner: pos.Writer, Digest: string(entry.GetDigest()), Offset: pos.Offset})
	return fold.Accept(pos)
}

func (c *Claims) insert(id ID, claim Claim) {
	c.claims[id] = claim
	account := c.account(id.Account)
	account.queue = append(account.queue, claimRef{id.Key, claim.Offset})
	account.live++
}

func (c *Claims) account(name string) *accountClaims {
	account := c.accounts[name]
	if account == nil {
		account = &accountClaims{}
		c.accounts[name] = account
	}
	return account
}

// conflictCode returns the result code for another claim of the same key.
func (c Claim) conflictCode(digest []byte) result.Code {
	if !bytes.Equal([]byte(c.Digest), digest) {
		return result.KeyReused
	}
	if c.End == recordv1.CallEnd_CALL_END_UNSPECIFIED {
		return result.CallInProgress
	}
	return result.AlreadyRan
}

// applyOutcome records the outcome of a call. An outcome from a node that doesn't own
// the claim, or one that follows a first outcome, has no effect.
func (c *Claims) applyOutcome(pos fold.Position, entry *recordv1.CallOutcome) fold.Verdict {
	id := ID{entry.GetAccount(), entry.GetKey()}
	claim, known := c.claims[id]
	if !known || claim.Owner != pos.Writer || claim.End != recordv1.CallEnd_CALL_END_UNSPECIFIED {
		return fold.Refuse(pos, result.NotHolder, "the writer doesn't own the claim")
	}
	if entry.GetEnd() == recordv1.CallEnd_CALL_END_NOT_RUN {
		c.remove(id)
		return fold.Accept(pos)
	}
	claim.End, claim.Status = entry.GetEnd(), entry.GetStatus()
	c.claims[id] = claim
	return fold.Accept(pos)
}

func (c *Claims) remove(id ID) {
	delete(c.claims, id)
	c.accounts[id.Account].live--
}

// evict drops an account's expired claims, and its oldest ones if the account is at its
// limit. It depends on log entries alone, so every node evicts the same claims at the
// same offset.
func (c *Claims) evict(name string, account *accountClaims, offset uint64) {
	for len(account.queue) > 0 {
		oldest := account.queue[0]
		current, known := c.claims[ID{name, oldest.Key}]
		stale := !known || current.Offset != oldest.Offset
		full := account.live >= c.limits.MaxPerAccount
		expired := oldest.Offset+c.limits.RetentionOffsets < offset || (full && oldest.Offset+c.limits.MinRetentionOffsets < offset)
		if !stale && !expired {
			return
		}
		account.queue = account.queue[1:]
		if !stale {
			c.remove(ID{name, oldest.Key})
		}
	}
}
