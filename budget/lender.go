package budget

import (
	"sync"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// endedRetention is how long a lender remembers that a part has ended. A Reserve that arrives
// later than that after its Settle would reserve the part again; in practice exchanges end with
// their connection, seconds after it goes silent.
const endedRetention = 10 * time.Minute

// LentPart is a part of a peer's request that this node reserved.
type LentPart struct {
	// ID is the part's id assigned by the borrower.
	ID string
	// Request is the id under which this node settles the part.
	Request  string
	Borrower string
	Tokens   uint64
}

type lentPart struct {
	LentPart
	reservation *Reservation
}

// Lender reserves parts for peers from this node's shares. It is safe for concurrent use.
type Lender struct {
	holder *ShareHolder
	ledger *Ledger
	events *event.Recorder

	mu    sync.Mutex
	parts map[string]*lentPart
	// ended and previousEnded hold the ids of ended parts; ended replaces previousEnded at most
	// every endedRetention, which bounds how long ids are kept.
	ended, previousEnded map[string]struct{}
	rotatedAt            time.Time
}

// NewLender returns a lender for the shares of a node.
func NewLender(holder *ShareHolder, ledger *Ledger, events *event.Recorder) *Lender {
	return &Lender{holder: holder, ledger: ledger, events: events, parts: map[string]*lentPart{}, ended: map[string]struct{}{}}
}

// Reserve reserves as many of the requested tokens as the share has. A repeated call with the
// same id returns the same answer. A part that was already settled is refused: messages can be
// reordered, and the part would otherwise stay open forever.
func (l *Lender) Reserve(from string, request *fleetv1.Reserve) (*fleetv1.Reserved, error) {
	if !l.ledger.IsOpen(from) {
		return nil, result.New(result.IncarnationClosed, "the borrower isn't open")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasEnded(request.GetId()) {
		return nil, result.New(result.ReservationEnded, "part %s has ended", request.GetId())
	}
	part := l.parts[request.GetId()]
	if part == nil {
		reservation, err := l.holder.ReserveUpTo(request.GetBudget(), request.GetTokens())
		if err != nil {
			return nil, err
		}
		part = &lentPart{LentPart{request.GetId(), reservation.ID.String(), from, reservation.Tokens}, reservation}
		l.parts[request.GetId()] = part
		l.events.Record(event.PartLent, "request", request.GetRequest(), "part", part.Request, "tokens", part.Tokens, "borrower", from)
	}
	return &fleetv1.Reserved{
		Tokens: part.Tokens, Request: part.Request, RightMs: uint64(max(0, l.holder.RightRemaining().Milliseconds())),
	}, nil
}

// Settle ends a part and bills the tokens. It is idempotent.
func (l *Lender) Settle(id string, tokens uint64) {
	l.mu.Lock()
	part := l.parts[id]
	delete(l.parts, id)
	l.markEnded(id)
	l.mu.Unlock()
	if part != nil {
		part.reservation.Finish(tokens)
	}
}

// Orphans returns the parts lent to incarnations whose shares are released: nobody will settle
// them, and each would keep tokens reserved and the ledger's list of settled requests growing.
// A borrower that is closed but not released may be alive behind a network partition and still
// settle its parts.
func (l *Lender) Orphans() []LentPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orphans []LentPart
	for _, part := range l.parts {
		if !l.ledger.Known(part.Borrower) {
			orphans = append(orphans, part.LentPart)
		}
	}
	return orphans
}

func (l *Lender) hasEnded(id string) bool {
	_, inCurrent := l.ended[id]
	_, inPrevious := l.previousEnded[id]
	return inCurrent || inPrevious
}

func (l *Lender) markEnded(id string) {
	now := l.holder.clock.Now()
	if now.Sub(l.rotatedAt) > endedRetention {
		l.previousEnded, l.ended = l.ended, map[string]struct{}{}
		l.rotatedAt = now
	}
	l.ended[id] = struct{}{}
}
