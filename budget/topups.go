package budget

import (
	"crypto/sha256"
	"encoding/hex"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// MaxTopUps bounds the top-ups of one budget, about 1 MB each. Their ids can't be
// forgotten: the same file of resources may be applied again after years, and a
// top-up whose id was forgotten would credit its tokens a second time. So a full
// budget refuses further top-ups instead, and operators go on with a new budget.
// Ten top-ups a day fill it in four years and a half.
const MaxTopUps = 16_384

// foldedTopUp is what is kept of a top-up.
type foldedTopUp struct {
	Offset uint64
	Tokens uint64
}

// topUpKey returns a fixed-size form of an operator's id, so that long ones cost no
// more. 128 bits of SHA-256 don't collide by chance.
func topUpKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:16])
}

func (l *Ledger) topUp(at fold.Position, entry *recordv1.TopUpEntry) fold.Verdict {
	key := topUpKey(entry.GetTopUp().GetId())
	if first, seen := l.topUps[key]; seen {
		return fold.Verdict{Offset: first.Offset, Version: first.Offset, Tokens: first.Tokens}
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
