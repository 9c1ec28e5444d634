package budget

import (
	"strconv"
	"strings"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// RequestID names a request: the incarnation that accounts for it and a counter.
type RequestID struct {
	Incarnation string
	Counter     uint64
}

// String returns "<incarnation>.<counter>".
func (r RequestID) String() string {
	return r.Incarnation + "." + strconv.FormatUint(r.Counter, 10)
}

// ParseRequestID reads what String returned; false when it isn't one.
func ParseRequestID(text string) (RequestID, bool) {
	dot := strings.LastIndexByte(text, '.')
	if dot <= 0 {
		return RequestID{}, false
	}
	counter, err := strconv.ParseUint(text[dot+1:], 10, 64)
	if err != nil {
		return RequestID{}, false
	}
	return RequestID{Incarnation: text[:dot], Counter: counter}, true
}

// settle bills requests. A request that is settled already is passed over: its own node,
// witnesses and whoever recovers may all settle it, which would show as one request
// billed twice. While the incarnation is open, others settle only what it told them to
// be finished, so whoever comes first writes the same figure.
func (l *Ledger) settle(at fold.Position, batch *recordv1.SettlementBatch) fold.Verdict {
	i := l.incarnations[batch.GetIncarnation()]
	if i == nil {
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation's shares are released")
	}
	own := at.Writer == batch.GetIncarnation()
	if !own && !i.Closed && l.open(at.Writer) == nil {
		return fold.Refuse(at, result.NotHolder, "only open incarnations settle for one that is open")
	}
	billed := uint64(0)
	for _, s := range batch.GetSettlements() {
		billed += l.settleOne(batch.GetIncarnation(), i, s)
	}
	if own {
		i.forgetBelow(batch.GetOldestOpen())
	}
	return fold.Verdict{Offset: at.Offset, Tokens: billed}
}

func (l *Ledger) settleOne(incarnation string, i *Incarnation, s *recordv1.Settlement) uint64 {
	id, ok := ParseRequestID(s.GetRequest())
	if !ok || id.Incarnation != incarnation || i.isSettled(id.Counter) {
		return 0
	}
	i.Settled[id.Counter] = true
	line := l.line(s.GetBudget())
	share := line.share(incarnation)
	tokens := min(s.GetTokens(), share.Remaining())
	l.excess += s.GetTokens() - tokens
	share.Spent += tokens
	line.Spent += tokens
	return tokens
}
