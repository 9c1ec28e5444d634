package allotment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/prepaid"
)

const (
	// roundInterval is the pause between two rounds: callers that were told to retry after a
	// second find the grants of at least one round.
	roundInterval = 350 * time.Millisecond
	// initialRounds is the number of rounds that are only initialRoundInterval apart: when a
	// whole fleet restarts, the first reports of its nodes come within some tenths of a second,
	// and each node and all its callers wait for its grant.
	initialRounds        = 12
	initialRoundInterval = 80 * time.Millisecond
	// plannerCheckInterval is the pause between checks whether this node is the planner.
	plannerCheckInterval = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1500 * time.Millisecond
	// ledgerKey is the only key of the ledger's topic.
	ledgerKey = "ledger"
	// producerName identifies the planner to the store, whichever node that is.
	producerName = "allocator"
)

// Topics are the topics of the records.
type Topics struct {
	Spend          Partitions
	Ledger, Grants keyedlog.Topic
}

// Fleet provides the planner with the state of nodes and the configuration.
type Fleet interface {
	// IsPlanner reports whether this node should currently plan.
	IsPlanner() bool
	// IsLive reports whether an incarnation was heard from within the last few seconds.
	IsLive(node, incarnation string) bool
	// Prepaid returns every limited account's total, or false if none is known yet.
	Prepaid() (map[string]int64, bool)
}

// Planner plans allocations while this node is the planner.
type Planner struct {
	topics   Topics
	fleet    Fleet
	settings prepaid.Settings
	events   *event.Recorder
	// lastTerm is the number of the last term that this node tried to begin.
	lastTerm uint64
}

// NewPlanner returns a planner that isn't running.
func NewPlanner(topics Topics, fleet Fleet, settings prepaid.Settings, events *event.Recorder) *Planner {
	return &Planner{topics: topics, fleet: fleet, settings: settings, events: events}
}

// Run runs a term whenever this node is the planner, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.fleet.IsPlanner() {
			if err := p.runTerm(ctx); err != nil && ctx.Err() == nil {
				p.events.Record(event.LeaseLost, "lease", producerName, "reason", err)
				periodic.Sleep(ctx, roundInterval)
			}
		}
		periodic.Sleep(ctx, plannerCheckInterval)
	}
}

// runTerm plans rounds until another node is the planner or the store fails.
func (p *Planner) runTerm(ctx context.Context) error {
	t, err := p.beginTerm(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	p.events.Record(event.LeaseTaken, "lease", producerName, "epoch", t.epoch)
	for rounds := 0; ctx.Err() == nil && p.fleet.IsPlanner(); rounds++ {
		if err := t.round(ctx); err != nil {
			return errors.Trace(err)
		}
		pause := roundInterval
		if rounds < initialRounds {
			pause = initialRoundInterval
		}
		periodic.Sleep(ctx, pause)
	}
	return nil
}

// beginTerm fences off the previous planner, then reads its ledger. In the opposite order, a
// write between the read and the fence would be lost, and its grants forgotten.
func (p *Planner) beginTerm(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	previous, err := p.readLedger(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &term{planner: p, epoch: p.firstEpoch(previous), reports: newReports(p.topics.Spend, p.events)}
	if err := p.topics.Ledger.Append(ctx, t.fence()); err != nil {
		return nil, errors.Trace(err)
	}
	ledger, err := p.readLedger(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t.allocator = prepaid.NewAllocator(p.settings, ledger)
	return t, nil
}

func (p *Planner) readLedger(ctx context.Context) (*prepaid.Ledger, error) {
	records, _, err := keyedlog.ReadNewest(ctx, p.topics.Ledger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, r := range records {
		if r.Key != ledgerKey {
			continue
		}
		ledger, err := DecodeLedger(r.Value)
		if err != nil {
			return nil, errors.Annotate(err, "ledger is unreadable; no grants are issued")
		}
		return &ledger, nil
	}
	return nil, nil
}

// An epoch consists of the term's number, a random part that distinguishes two nodes that begin
// the same term, and the number of the round within the term.
const (
	roundBits  = 24
	randomBits = 12
)

// firstEpoch returns an epoch above the ledger's and above those that this node tried before. A
// planner may have fenced and died before it wrote a ledger: the store then holds a higher
// epoch than the ledger shows. When epochs continued from the ledger alone, every later planner
// was rejected for the rest of the day and no grants were issued.
func (p *Planner) firstEpoch(previous *prepaid.Ledger) uint64 {
	if previous != nil {
		p.lastTerm = max(p.lastTerm, previous.Epoch>>(roundBits+randomBits))
	}
	p.lastTerm++
	random := uint64(rand.Uint32N(1 << randomBits))
	return p.lastTerm<<(roundBits+randomBits) | random<<roundBits
}
