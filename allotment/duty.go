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
	// roundEvery is the pause between two rounds: callers that were told to come back
	// after a second find the grants of one round at least.
	roundEvery = 350 * time.Millisecond
	// firstRounds follow each other after firstRoundEvery: when a whole fleet comes back,
	// its nodes' first reports come within some tenths of a second, and each of them waits
	// for its grant with all its callers.
	firstRounds     = 12
	firstRoundEvery = 80 * time.Millisecond
	// dutyCheck is the pause between looks whether the duty falls to this node.
	dutyCheck = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1500 * time.Millisecond
	// ledgerKey is the one key of the ledger's topic.
	ledgerKey = "ledger"
	// producer names the planning node to the store, whichever node that is.
	producer = "allocator"
)

// Topics are where the records stand.
type Topics struct {
	Spend, Ledger, Grants keyedlog.Topic
}

// Fleet is what the duty asks about the nodes and the configuration.
type Fleet interface {
	// IsPlanner tells whether this node is the one to plan now.
	IsPlanner() bool
	// IsLive tells whether an incarnation was heard of within the last seconds.
	IsLive(node, incarnation string) bool
	// Prepaid returns every limited account's total, or false before any is known.
	Prepaid() (map[string]int64, bool)
}

// Planner plans shares while it falls to this node.
type Planner struct {
	topics   Topics
	fleet    Fleet
	settings prepaid.Settings
	events   *event.Recorder
	// tried is the number of the last term that this node tried to begin.
	tried uint64
}

// NewPlanner returns a duty that hasn't begun.
func NewPlanner(topics Topics, fleet Fleet, settings prepaid.Settings, events *event.Recorder) *Planner {
	return &Planner{topics: topics, fleet: fleet, settings: settings, events: events}
}

// Run takes the duty up whenever it falls to this node, until ctx ends.
func (d *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if d.fleet.IsPlanner() {
			if err := d.serve(ctx); err != nil && ctx.Err() == nil {
				d.events.Record(event.LeaseLost, "lease", producer, "reason", err)
				periodic.Pause(ctx, roundEvery)
			}
		}
		periodic.Pause(ctx, dutyCheck)
	}
}

// serve plans rounds until the duty falls to another node or the store fails.
func (d *Planner) serve(ctx context.Context) error {
	t, err := d.begin(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	d.events.Record(event.LeaseTaken, "lease", producer, "epoch", t.epoch)
	for rounds := 0; ctx.Err() == nil && d.fleet.IsPlanner(); rounds++ {
		if err := t.round(ctx); err != nil {
			return errors.Trace(err)
		}
		pause := roundEvery
		if rounds < firstRounds {
			pause = firstRoundEvery
		}
		periodic.Pause(ctx, pause)
	}
	return nil
}

// begin fences off the planner before and reads what it left. Read in the other order,
// a write between the reading and the fence would be lost, and its grants forgotten.
func (d *Planner) begin(ctx context.Context) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	before, err := d.readLedger(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &term{duty: d, epoch: d.firstEpoch(before), reports: make(map[string]prepaid.Report)}
	if err := d.topics.Ledger.Append(ctx, t.fence()); err != nil {
		return nil, errors.Trace(err)
	}
	ledger, err := d.readLedger(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t.allocator = prepaid.NewAllocator(d.settings, ledger)
	t.follower = keyedlog.NewFollower(d.topics.Spend, (*reports)(t), keyedlog.Options{Wait: 0, Slack: callTimeout})
	return t, nil
}

func (d *Planner) readLedger(ctx context.Context) (*prepaid.Ledger, error) {
	records, _, err := keyedlog.ReadNewest(ctx, d.topics.Ledger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, r := range records {
		if r.Key != ledgerKey {
			continue
		}
		ledger, err := DecodeLedger(r.Value)
		if err != nil {
			return nil, errors.Annotate(err, "the ledger can't be read; nothing is granted")
		}
		return &ledger, nil
	}
	return nil, nil
}

// An epoch is a term's number, a random part that tells two nodes apart which begin the
// same term, and the number of the write within the term.
const (
	roundBits  = 24
	randomBits = 12
)

// firstEpoch returns an epoch above the ledger's and above what this node tried before. A
// planner may have fenced and died before it wrote a ledger: the store then holds a higher
// epoch than the ledger tells. Counting on from the ledger alone, every later planner was
// refused for the rest of the day, and nobody was granted anything.
func (d *Planner) firstEpoch(before *prepaid.Ledger) uint64 {
	if before != nil {
		d.tried = max(d.tried, before.Epoch>>(roundBits+randomBits))
	}
	d.tried++
	random := uint64(rand.Uint32N(1 << randomBits))
	return d.tried<<(roundBits+randomBits) | random<<roundBits
}
