package budget

import (
	"sync"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// endedMemory is how long a lender remembers that a part has ended. A peer's ask
// that comes later than that after its own Settle would reserve again; exchanges
// end with their connection, seconds after it fell silent.
const endedMemory = 10 * time.Minute

// LentPart is a part that this node reserved for a request of a peer.
type LentPart struct {
	// ID is the borrower's name of the part.
	ID string
	// Request is the id under which this node settles it.
	Request  string
	Borrower string
	Tokens   uint64
}

type lentPart struct {
	LentPart
	reservation *Reservation
}

// Lender reserves parts for peers out of this node's share. It is safe for
// concurrent use.
type Lender struct {
	holder *ShareHolder
	ledger *Ledger
	events *event.Recorder

	mu   sync.Mutex
	lent map[string]*lentPart
	// ended and endedBefore hold the ids of ended parts; they change places every
	// endedMemory, which bounds them.
	ended, endedBefore map[string]struct{}
	turned             time.Time
}

// NewLender returns a lender of a node's shares.
func NewLender(holder *ShareHolder, ledger *Ledger, events *event.Recorder) *Lender {
	return &Lender{holder: holder, ledger: ledger, events: events, lent: map[string]*lentPart{}, ended: map[string]struct{}{}}
}

// Reserve reserves as many of the tokens as the share has. Asked again under the
// same id it gives the same answer. It refuses a part that was settled already:
// messages can overtake each other, and the part would stay open for ever.
func (l *Lender) Reserve(from string, ask *fleetv1.Reserve) (*fleetv1.Reserved, error) {
	if !l.ledger.IsOpen(from) {
		return nil, result.New(result.IncarnationClosed, "the borrower isn't open")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasEnded(ask.GetId()) {
		return nil, result.New(result.ReservationEnded, "part %s has ended", ask.GetId())
	}
	part := l.lent[ask.GetId()]
	if part == nil {
		reservation, err := l.holder.ReserveUpTo(ask.GetBudget(), ask.GetTokens())
		if err != nil {
			return nil, err
		}
		part = &lentPart{LentPart{ask.GetId(), reservation.ID.String(), from, reservation.Tokens}, reservation}
		l.lent[ask.GetId()] = part
		l.events.Record(event.PartLent, "request", ask.GetRequest(), "part", part.Request, "tokens", part.Tokens, "borrower", from)
	}
	return &fleetv1.Reserved{
		Tokens: part.Tokens, Request: part.Request, RightMs: uint64(max(0, l.holder.RightRemaining().Milliseconds())),
	}, nil
}

// Settle ends a part and bills the tokens. Repetitions have no effect.
func (l *Lender) Settle(id string, tokens uint64) {
	l.mu.Lock()
	part := l.lent[id]
	delete(l.lent, id)
	l.noteEnded(id)
	l.mu.Unlock()
	if part != nil {
		part.reservation.Finish(tokens)
	}
}

// Orphans returns the parts lent to incarnations whose shares are released: nobody
// will settle them, and each would keep tokens reserved and the fold's list of
// settled requests growing. A borrower that is closed but not released may be alive
// behind a cut, and still settles what it borrowed.
func (l *Lender) Orphans() []LentPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orphans []LentPart
	for _, part := range l.lent {
		if !l.ledger.Known(part.Borrower) {
			orphans = append(orphans, part.LentPart)
		}
	}
	return orphans
}

func (l *Lender) hasEnded(id string) bool {
	_, now := l.ended[id]
	_, before := l.endedBefore[id]
	return now || before
}

func (l *Lender) noteEnded(id string) {
	now := l.holder.clock.Now()
	if now.Sub(l.turned) > endedMemory {
		l.endedBefore, l.ended = l.ended, map[string]struct{}{}
		l.turned = now
	}
	l.ended[id] = struct{}{}
}
