package idempotency

import (
	"encoding/json"
	"sort"

	"github.com/juju/errors"
)

// savedClaim is the encoding of one claim in a snapshot.
type savedClaim struct {
	ID    ID
	Claim Claim
	// Digest is binary data, which JSON preserves only as a byte slice.
	Digest []byte
}

// Snapshot implements fold.Part.
func (c *Claims) Snapshot() ([]byte, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	saved := make([]savedClaim, 0, len(c.claims))
	for id, claim := range c.claims {
		digest := []byte(claim.Digest)
		claim.Digest = ""
		saved = append(saved, savedClaim{id, claim, digest})
	}
	sort.Slice(saved, func(i, j int) bool { return saved[i].less(saved[j]) })
	return json.Marshal(saved)
}

// less orders by offset, and within a batch by account and key, so that all nodes write
// identical snapshots.
func (s savedClaim) less(other savedClaim) bool {
	if s.Claim.Offset != other.Claim.Offset {
		return s.Claim.Offset < other.Claim.Offset
	}
	if s.ID.Account != other.ID.Account {
		return s.ID.Account < other.ID.Account
	}
	return s.ID.Key < other.ID.Key
}

// Restore implements fold.Part.
func (c *Claims) Restore(data []byte) error {
	var saved []savedClaim
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Annotate(err, "claims snapshot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims, c.accounts = map[ID]Claim{}, map[string]*accountClaims{}
	for _, s := range saved {
		s.Claim.Digest = string(s.Digest)
		c.insert(s.ID, s.Claim)
	}
	return nil
}
