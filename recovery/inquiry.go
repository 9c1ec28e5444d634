package recovery

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	queryTimeout = time.Second
	// maxResolving bounds how many engines are asked at a time.
	maxResolving = 32
)

// inquiry finds out about the requests billed to one incarnation: who was told of
// them, and what each is billed.
type inquiry struct {
	r       *Recoverer
	subject string
	started time.Time
	// ended is when the subject was found to have ended for good; zero while it may
	// live and come back with what it alone knows.
	ended time.Time
	// silence is how long the subject had been silent when the inquiry began.
	silence time.Duration

	// closed is the offset of the subject's close.
	closed uint64
	// unasked holds the peer addresses of nodes that may know something, by incarnation.
	unasked map[string]string
	// later tells of each node that is or was in unasked whether it opened after the close:
	// it knows only what others do or did.
	later map[string]bool
	// gone is set when a node that may have known something surely ended.
	gone bool
	// left is set when a node was found to have passed on what it knew and left.
	left     bool
	found    map[string]*fleetv1.OpenRequest
	outcomes map[string]outcome
}

// newInquiry asks all nodes that the log holds, for a subject that was closed at an offset.
func (r *Recoverer) newInquiry(subject string, closed uint64) *inquiry {
	q := &inquiry{
		r: r, subject: subject, closed: closed, started: r.c.Clock.Now(), silence: r.c.Watcher.SinceLastBatch(subject),
		unasked: map[string]string{}, later: map[string]bool{},
		found: map[string]*fleetv1.OpenRequest{}, outcomes: map[string]outcome{},
	}
	q.meet()
	return q
}

// meet adds the nodes that the log has opened since. One that opened after the close
// can't have been told by the subject, but a witness may have handed on to it what it
// remembered, and died.
func (q *inquiry) meet() {
	for id, i := range q.r.c.Ledger.Incarnations() {
		// A lender asks itself too: it may be the witness of the node that borrowed.
		if _, met := q.later[id]; met || id == q.subject && id != q.r.c.Incarnation {
			continue
		}
		q.later[id] = i.Opened >= q.closed
		q.unasked[id] = i.Node.GetPeerAddress()
	}
}

func (q *inquiry) age() time.Duration { return q.r.c.Clock.Since(q.started) }

// answered tells whether all nodes have answered that can.
func (q *inquiry) answered() bool { return len(q.unasked) == 0 }

// overdue tells whether the inquiry ends without the answers that are missing.
func (q *inquiry) overdue() bool { return q.age() > q.r.c.LostAfter }

// ask asks the nodes that haven't answered yet. An answer is final: the subject's
// right has run out, so nothing that it tells anybody later is dispatched.
func (q *inquiry) ask(ctx context.Context) {
	q.meet()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for id, address := range maps.Clone(q.unasked) {
		wait.Go(func() {
			open, state := q.askOne(ctx, id, address)
			mu.Lock()
			defer mu.Unlock()
			q.take(id, open, state)
		})
	}
	wait.Wait()
	if q.left {
		q.left = false
		q.askAgain()
	}
}

// askAgain makes every node be asked once more. One that left had passed on what it
// knew, maybe to a node that had answered before: its answer then wasn't final after
// all, and what was passed on would be billed to nobody.
func (q *inquiry) askAgain() {
	clear(q.later)
	q.meet()
}

type answerState int

const (
	noAnswer answerState = iota
	answeredNow
	nodeGone
	nodeLeft
)

func (q *inquiry) take(id string, open []*fleetv1.OpenRequest, state answerState) {
	if state == noAnswer {
		return
	}
	delete(q.unasked, id)
	q.gone = q.gone || state == nodeGone && !q.later[id]
	q.left = q.left || state == nodeLeft
	for _, o := range open {
		if held := q.found[o.GetRequest()]; !held.GetFinished() {
			q.found[o.GetRequest()] = o
		}
	}
}

func (q *inquiry) askOne(ctx context.Context, id, address string) ([]*fleetv1.OpenRequest, answerState) {
	if id == q.r.c.Incarnation {
		return q.r.Report(q.subject), answeredNow
	}
	held, known := q.r.c.Ledger.Incarnation(id)
	if !known {
		// It stopped gracefully or settled its own close, having passed on what it
		// remembered, or was itself recovered, having been asked in its time.
		return nil, nodeLeft
	}
	if q.r.hasEnded(held) {
		return nil, nodeGone
	}
	ctx, cancel := clockwork.WithTimeout(ctx, q.r.c.Clock, queryTimeout)
	defer cancel()
	response, err := q.r.c.Caller.Call(ctx, address, &fleetv1.Request{
		From: q.r.c.Incarnation, Hlc: uint64(q.r.c.Events.Clock().Now()),
		Body: &fleetv1.Request_WitnessQuery{WitnessQuery: &fleetv1.WitnessQuery{Incarnation: q.subject, Witness: id}},
	})
	switch {
	case err != nil:
		return nil, noAnswer
	case result.Code(response.GetCode()) == result.IncarnationClosed:
		return nil, nodeGone
	case response.GetCode() != uint32(result.OK):
		return nil, noAnswer
	}
	return response.GetWitnessReport().GetOpen(), answeredNow
}

// noteEnd notes once the subject has surely ended.
func (q *inquiry) noteEnd() {
	if !q.ended.IsZero() {
		return
	}
	held, known := q.r.c.Ledger.Incarnation(q.subject)
	if known && q.r.hasEnded(held) {
		q.ended = q.r.c.Clock.Now()
	}
}

// mayLive tells whether the subject may come back and settle for itself. A node alone
// behind a cut is closed once its right has lapsed, and has answered requests that
// nobody else knows of: released before it is back, they would be billed to nobody.
func (q *inquiry) mayLive() bool { return q.ended.IsZero() && !q.overdue() }

// subjectLives tells whether the closed incarnation itself answers: a node that was
// cut off and is back, and hasn't read its close yet. It alone knows all that it
// answered meanwhile, and puts it into the log as soon as it reads the close.
// Released before that, its settlements would be void and its answers unbilled.
func (q *inquiry) subjectLives(ctx context.Context) bool {
	held, known := q.r.c.Ledger.Incarnation(q.subject)
	if !known || held.Replaced {
		return false
	}
	_, state := q.askOne(ctx, q.subject, held.Node.GetPeerAddress())
	return state == answeredNow
}

// resolve decides on the requests found; true once all are decided.
func (q *inquiry) resolve(ctx context.Context, wanted func(request string) bool) bool {
	var group errgroup.Group
	group.SetLimit(maxResolving)
	var mu sync.Mutex
	for _, open := range q.undecided(wanted) {
		group.Go(func() error {
			decided := q.outcomeNow(ctx, open)
			mu.Lock()
			defer mu.Unlock()
			q.decide(open.GetRequest(), open, decided)
			return nil
		})
	}
	_ = group.Wait()
	return len(q.undecided(wanted)) == 0
}

// outcomeNow decides by facts alone while the subject may live, as it knows what a plain
// service never tells, and while the engine is behind a cut: it will tell afterwards, and
// the worst case would bill more than it produced.
func (q *inquiry) outcomeNow(ctx context.Context, open *fleetv1.OpenRequest) outcome {
	engines := q.r.c.Engines
	cut := engines.ReportsUsage(open.GetUpstream()) && !engines.Reachable(open.GetUpstream())
	switch {
	case q.overdue():
		return outcomeOf(ctx, engines, open, EngineWait)
	case q.mayLive() || cut:
		return factOf(ctx, engines, open)
	default:
		return outcomeOf(ctx, engines, open, q.r.c.Clock.Since(q.ended))
	}
}

func (q *inquiry) undecided(wanted func(request string) bool) []*fleetv1.OpenRequest {
	var open []*fleetv1.OpenRequest
	for request, o := range q.found {
		if q.outcomes[request].from == undecided && wanted(request) {
			open = append(open, o)
		}
	}
	return open
}

func (q *inquiry) decide(request string, open *fleetv1.OpenRequest, decided outcome) {
	if decided.from == undecided {
		return
	}
	q.outcomes[request] = decided
	q.r.c.Events.Record(event.RequestRecovered, "request", request, "budget", open.GetBudget(),
		"tokens", decided.tokens, "reserved", open.GetReserved(), "from", string(decided.from))
}

// lost tells whether what is left of the subject's shares may have been spent by
// requests that nobody knows of any more, or only the subject itself. A subject that was heard in the log until
// shortly before it ended had at most its last moments unsettled.
func (q *inquiry) lost() bool {
	return !q.answered() || q.ended.IsZero() || q.gone && q.silence > unloggedTolerance
}
