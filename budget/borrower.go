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
	// peerCallTimeout bounds one call to a peer; the round trip between regions takes 60 ms.
	peerCallTimeout = 300 * time.Millisecond
	// settleRetryInterval is the time between attempts to settle a part with an unresponsive
	// lender.
	settleRetryInterval = time.Second
	// maxUnsettledParts bounds the parts not yet settled with their lenders, about 4 MB.
	maxUnsettledParts = 20_000
)

// borrowedPart is a part of a request that a peer reserved.
type borrowedPart struct {
	id     string
	lender *recordv1.NodeInfo
	// request is the lender's request id of the part; empty if its response never arrived.
	request      string
	tokens       uint64
	tokensBefore uint64
	// right is the lender's right to spend, measured on this node's clocks.
	right *spendRight

	finished bool
	used     uint64
}

// checkRight returns an error if the lender's right to spend has lapsed. The term is counted
// from before the call, so it ends on this node before it ends on the lender.
func (p *borrowedPart) checkRight() error {
	if p.right.remaining() <= 0 {
		return result.New(result.SpendRightLapsed, "the lender's right to spend has lapsed").WithRetryAfter(spendRightRetryAfter)
	}
	return nil
}

// Borrower requests parts from peers and settles them. It is safe for concurrent use.
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

// requestPart asks one lender to reserve a part. If the response is lost, the lender may have
// reserved the part all the same, so the part is settled with 0 tokens.
func (b *Borrower) requestPart(ctx context.Context, lender *recordv1.NodeInfo, own *Reservation, tokens, tokensBefore uint64, number int) (*borrowedPart, error) {
	part := &borrowedPart{
		id: own.ID.String() + "/" + strconv.Itoa(number), lender: lender, tokensBefore: tokensBefore, right: newSpendRight(b.clock),
	}
	if !b.track(part) {
		return nil, result.New(result.PeerUnreachable, "%d parts wait for their lenders", maxUnsettledParts)
	}
	sentAt := b.clock.Now()
	response, err := b.call(ctx, lender, &fleetv1.Request{Body: &fleetv1.Request_Reserve{Reserve: &fleetv1.Reserve{
		Budget: own.Budget, Tokens: tokens, Id: part.id, Request: own.ID.String(), Before: tokensBefore,
	}}})
	if err != nil {
		b.finish(part, 0)
		return nil, result.New(result.PeerUnreachable, "%v", err)
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		b.untrack(part)
		return nil, result.New(code, "%s", response.GetMessage())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	part.tokens = response.GetReserved().GetTokens()
	part.request = response.GetReserved().GetRequest()
	part.right.extend(sentAt.Add(time.Duration(response.GetReserved().GetRightMs()) * time.Millisecond))
	b.events.Record(event.PartBorrowed, "request", own.ID, "part", part.request, "tokens", part.tokens, "lender", lender.GetIncarnation())
	return part, nil
}

func (b *Borrower) call(ctx context.Context, to *recordv1.NodeInfo, r *fleetv1.Request) (*fleetv1.Response, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, b.clock, peerCallTimeout)
	defer cancel()
	r.From = b.incarnation
	r.Hlc = uint64(b.events.Clock().Now())
	return b.caller.Call(ctx, to.GetPeerAddress(), r)
}

func (b *Borrower) track(part *borrowedPart) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts) >= maxUnsettledParts {
		return false
	}
	b.parts[part.id] = part
	return true
}

func (b *Borrower) untrack(part *borrowedPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.parts, part.id)
}

// finish records the tokens billed to a part; Run reports them to the lender.
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

// UnsettledParts returns the number of parts not yet settled with their lenders.
func (b *Borrower) UnsettledParts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.parts)
}

// Run settles finished parts with their lenders until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	ticker := b.clock.NewTicker(settleRetryInterval)
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

// settleAll settles with all lenders in parallel, so that an unresponsive one doesn't delay the
// others.
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

// settle returns false if the lender didn't accept the settlement. A closed lender may be alive
// and settle its own requests; once it is released, recovery has settled its parts.
func (b *Borrower) settle(ctx context.Context, part *borrowedPart) bool {
	if !b.ledger.Known(part.lender.GetIncarnation()) {
		b.untrack(part)
		return true
	}
	response, err := b.call(ctx, part.lender, &fleetv1.Request{Body: &fleetv1.Request_Settle{Settle: &fleetv1.Settle{
		Id: part.id, Tokens: part.used,
	}}})
	if err != nil || response.GetCode() != uint32(result.OK) {
		return false
	}
	b.untrack(part)
	return true
}
