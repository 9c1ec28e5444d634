package budget

import (
	"crypto/sha256"
	"encoding/hex"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// MaxTopUps bounds the top-ups of one budget, about 1 MB per budget. Their ids are never
// forgotten: the same resource file may be applied again years later, and a top-up with a
// forgotten id would credit its tokens a second time. A full budget therefore refuses further
// top-ups, and operators continue with a new budget. At ten top-ups a day that takes four and a
// half years.
const MaxTopUps = 16_384

// foldedTopUp is what the ledger keeps of a top-up.
type foldedTopUp struct {
	Offset uint64
	Tokens uint64
}

// topUpKey returns a fixed-size key for an operator's top-up id, so that long ids use no more
// memory. It has 128 bits of SHA-256, which don't collide by chance.
func topUpKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:16])
}

func (l *Ledger) topUp(at fold.Position, entry *recordv1.TopUpEntry) fold.Verdict {
	key := topUpKey(entry.GetTopUp().GetId())
	if existing, seen := l.topUps[key]; seen {
		return fold.Verdict{Offset: existing.Offset, Version: existing.Offset, Tokens: existing.Tokens}
	}
	line := l.line(entry.GetTopUp().GetBudget())
	if line.TopUps >= MaxTopUps {
		return fold.Refuse(at, result.TopUpsFull, "the budget has had as many top-ups as it can have; create a new budget")
	}
	tokens := entry.GetTopUp().GetTokens()
	line.TopUps++
	line.Prepaid += tokens
	line.Pool += tokens
	l.topUps[key] = foldedTopUp{at.Offset, tokens}
	return fold.Verdict{Offset: at.Offset, Version: at.Offset, Tokens: tokens}
}
