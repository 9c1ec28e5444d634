package budget

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// askTimeout bounds one ask of a peer; the link between regions takes 60 ms both ways.
	askTimeout = 300 * time.Millisecond
	// settleInterval is the time between two tries to settle a part with a lender
	// that didn't answer.
	settleInterval = time.Second
	// maxParts bounds the parts that wait for their lender, about 4 MB.
	maxParts = 20_000
)

// borrowedPart is a part of a request that a peer reserved.
type borrowedPart struct {
	id     string
	lender *recordv1.NodeInfo
	// request is the lender's id of the part; empty when its answer never came.
	request string
	tokens  uint64
	before  uint64
	// right bounds how long the lender may spend, on this node's clocks.
	right *spendRight

	finished bool
	used     uint64
}

// checkRight fails when the lender may not spend any more. Its term is counted
// from before it was asked, so it ends here before it ends there.
func (p *borrowedPart) checkRight() error {
	if p.right.left() <= 0 {
		return result.New(result.SpendRightLapsed, "the lender's right to spend has lapsed").After(rightRetry)
	}
	return nil
}

// Borrower asks peers to reserve parts of requests, and settles the parts. It is
// safe for concurrent use.
type Borrower struct {
	incarnation string
	clock       clockwork.Clock
	caller      peer.Caller
	ledger      *Ledger
	events      *event.Recorder
	wake        chan struct{}

	mu    sync.Mutex
	parts map[string]*borrowedPart
}

// NewBorrower returns a borrower for an incarnation.
func NewBorrower(incarnation string, clock clockwork.Clock, caller peer.Caller, ledger *Ledger, events *event.Recorder) *Borrower {
	return &Borrower{
		incarnation: incarnation, clock: clock, caller: caller, ledger: ledger, events: events,
		wake: make(chan struct{}, 1), parts: map[string]*borrowedPart{},
	}
}

// ask asks one lender for a part. A part whose answer never came may be reserved
// at the lender all the same, so it is settled at 0 until the lender has said yes.
func (b *Borrower) ask(ctx context.Context, lender *recordv1.NodeInfo, own *Reservation, tokens, before uint64, number int) (*borrowedPart, error) {
	part := &borrowedPart{
		id: own.ID.String() + "/" + strconv.Itoa(number), lender: lender, before: before, right: newSpendRight(b.clock),
	}
	if !b.keep(part) {
		return nil, result.New(result.PeerUnreachable, "%d parts wait for their lenders", maxParts)
	}
	asked := b.clock.Now()
	response, err := b.call(ctx, lender, &fleetv1.Request{Body: &fleetv1.Request_Reserve{Reserve: &fleetv1.Reserve{
		Budget: own.Budget, Tokens: tokens, Id: part.id, Request: own.ID.String(), Before: before,
	}}})
	if err != nil {
		b.finish(part, 0)
		return nil, result.New(result.PeerUnreachable, "%v", err)
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		b.drop(part)
		return nil, result.New(code, "%s", response.GetMessage())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	part.tokens = response.GetReserved().GetTokens()
	part.request = response.GetReserved().GetRequest()
	part.right.extend(asked.Add(time.Duration(response.GetReserved().GetRightMs()) * time.Millisecond))
	b.events.Record(event.PartBorrowed, "request", own.ID, "part", part.request, "tokens", part.tokens, "lender", lender.GetIncarnation())
	return part, nil
}

func (b *Borrower) call(ctx context.Context, to *recordv1.NodeInfo, r *fleetv1.Request) (*fleetv1.Response, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, b.clock, askTimeout)
	defer cancel()
	r.From = b.incarnation
	r.Hlc = uint64(b.events.Clock().Now())
	return b.caller.Call(ctx, to.GetPeerAddress(), r)
}

func (b *Borrower) keep(part *borrowedPart) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts) >= maxParts {
		return false
	}
	b.parts[part.id] = part
	return true
}

func (b *Borrower) drop(part *borrowedPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.parts, part.id)
}

// finish notes what a part is billed; Run tells the lender.
func (b *Borrower) finish(part *borrowedPart, used uint64) {
	b.mu.Lock()
	part.finished = true
	part.used = used
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// UnsettledParts returns how many parts aren't settled with their lenders.
func (b *Borrower) UnsettledParts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.parts)
}

// Run settles finished parts with their lenders until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	ticker := b.clock.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-ticker.Chan():
		}
		b.settleAll(ctx)
	}
}

// settleAll tells each lender, side by side so that one that doesn't answer can't
// hold up the others.
func (b *Borrower) settleAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, parts := range b.finishedByLender() {
		wait.Go(func() {
			for _, part := range parts {
				if !b.settle(ctx, part) {
					return
				}
			}
		})
	}
	wait.Wait()
}

func (b *Borrower) finishedByLender() map[string][]*borrowedPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	byLender := map[string][]*borrowedPart{}
	for _, part := range b.parts {
		if part.finished {
			lender := part.lender.GetIncarnation()
			byLender[lender] = append(byLender[lender], part)
		}
	}
	return byLender
}

// settle returns false when the lender didn't answer. A lender that is closed may be
// alive and settle its own; once it is released its parts were settled by recovery.
func (b *Borrower) settle(ctx context.Context, part *borrowedPart) bool {
	if !b.ledger.Known(part.lender.GetIncarnation()) {
		b.drop(part)
		return true
	}
	response, err := b.call(ctx, part.lender, &fleetv1.Request{Body: &fleetv1.Request_Settle{Settle: &fleetv1.Settle{
		Id: part.id, Tokens: part.used,
	}}})
	if err != nil || response.GetCode() != uint32(result.OK) {
		return false
	}
	b.drop(part)
	return true
}
