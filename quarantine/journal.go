package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// CrashesTopicName is the name of the topic that holds the crashes which nodes counted, for nodes that start later.
const CrashesTopicName = "upstream-crashes"

const (
	// maxJournal bounds the crashes that one node keeps in the store: 20 KB.
	maxJournal = 256
	// minWriteInterval and writeIntervalPerNode bound how often a node writes its crashes, so that all nodes together
	// write at most 250 records a second, half of what one partition of the store takes.
	minWriteInterval     = 100 * time.Millisecond
	writeIntervalPerNode = 4 * time.Millisecond
	// journalTimeout bounds one write or reading.
	journalTimeout = 600 * time.Millisecond
	// readRetryPause is the pause before the topic is read again after a failure.
	readRetryPause = 300 * time.Millisecond
)

// journal holds the crashes that this node counted itself, or that an earlier incarnation of it wrote to the store.
type journal struct {
	clock bootclock.Clock

	mu      sync.Mutex
	crashes []Crash
	// generation counts the changes.
	generation uint64
	changed    chan struct{}
	// kept is whether something writes the crashes; waiting are those that wait until a generation is written.
	kept    bool
	waiting []keptWaiter
}

// keptWaiter waits until a generation is in the store.
type keptWaiter struct {
	generation uint64
	written    chan struct{}
}

func newJournal(clock bootclock.Clock) *journal {
	return &journal{clock: clock, changed: make(chan struct{}, 1)}
}

// add adds crashes; the returned channel is closed once they are in the store, nil if nothing writes them.
func (j *journal) add(crashes ...Crash) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, crashes...)
	j.crashes = j.crashes[max(0, len(j.crashes)-maxJournal):]
	j.change()
	if !j.kept || len(j.waiting) >= maxJournal {
		return nil
	}
	written := make(chan struct{})
	j.waiting = append(j.waiting, keptWaiter{j.generation, written})
	return written
}

// markWritten records that a generation is in the store.
func (j *journal) markWritten(generation uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting = slices.DeleteFunc(j.waiting, func(w keptWaiter) bool {
		if w.generation <= generation {
			close(w.written)
		}
		return w.generation <= generation
	})
}

// markKept records that the crashes are written from now on.
func (j *journal) markKept() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kept = true
}

// forget drops the crashes under a request that came before it was answered.
func (j *journal) forget(request ID, answeredAt time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := len(j.crashes)
	j.crashes = slices.DeleteFunc(j.crashes, func(e Crash) bool { return e.Request == request && e.At <= answeredAt })
	if len(j.crashes) != before {
		j.change()
	}
}

// change notes a change. The caller must hold mu.
func (j *journal) change() {
	j.generation++
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// current returns the crashes that still count, and the generation that they are of.
func (j *journal) current() ([]Crash, uint64) {
	now := j.clock.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	before := len(j.crashes)
	j.crashes = slices.DeleteFunc(j.crashes, func(e Crash) bool { return now-e.At > requestLife })
	if len(j.crashes) != before {
		j.generation++
	}
	return slices.Clone(j.crashes), j.generation
}

// journalRecord is a node's record in the store.
type journalRecord struct {
	// WrittenAtMs is the time of day at the writing, in Unix milliseconds: the crashes tell how long before it they were.
	WrittenAtMs int64       `json:"w"`
	Crashes     []ToldCrash `json:"e"`
}

// Keeper keeps a guard's own crashes in the store, and reads those of all nodes when it starts.
type Keeper struct {
	Guard *Guard
	Topic keyedlog.Topic
	Wall  clockwork.Clock
	// Incarnation identifies this process.
	Incarnation string
	// NodeCount returns how many nodes there are.
	NodeCount func() int

	epoch   uint64
	written uint64
	failing bool
}

// Run reads what other nodes kept, and writes what this one counts until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.Guard.journal.markKept()
	for ctx.Err() == nil && !k.report(k.load(ctx)) {
		periodic.Sleep(ctx, readRetryPause)
	}
	expiry := time.NewTicker(requestLife / 4)
	defer expiry.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.Guard.journal.changed:
		case <-expiry.C:
		}
		for ctx.Err() == nil && !k.report(k.save(ctx)) {
			periodic.Sleep(ctx, readRetryPause)
		}
		periodic.Sleep(ctx, max(minWriteInterval, time.Duration(k.NodeCount())*writeIntervalPerNode))
	}
}

// report logs the first of consecutive failures and the end of them, and reports whether there was none.
func (k *Keeper) report(err error) bool {
	switch {
	case err != nil && !k.failing:
		k.Guard.events.Record(event.LogUnreachable, "topic", CrashesTopicName, "error", err)
	case err == nil && k.failing:
		k.Guard.events.Record(event.LogReachable, "topic", CrashesTopicName)
	}
	k.failing = err != nil
	return err == nil
}

// load takes over the crashes that all nodes kept. Those of an earlier incarnation of this node become its own.
func (k *Keeper) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	records, _, err := k.Topic.Newest(ctx, func() {})
	if err != nil {
		return errors.Trace(err)
	}
	now := k.Guard.clock.Now()
	for _, r := range records {
		var kept journalRecord
		if err := json.Unmarshal(r.Value, &kept); err != nil {
			k.Guard.events.Record(event.BatchVoid, "topic", CrashesTopicName, "key", r.Key, "error", err)
			continue
		}
		since := max(0, k.Wall.Now().UnixMilli()-kept.WrittenAtMs)
		var crashes []Crash
		for i := range kept.Crashes {
			kept.Crashes[i].AgoMs += since
			if kept.Crashes[i].AgoMs < requestLife.Milliseconds() {
				crashes = append(crashes, kept.Crashes[i].heard(now))
			}
		}
		for _, e := range crashes {
			k.Guard.requests.add(e)
		}
		if r.Key == k.Guard.node {
			k.Guard.journal.add(crashes...)
		}
	}
	return nil
}

// save writes this node's crashes if they changed.
func (k *Keeper) save(ctx context.Context) error {
	crashes, generation := k.Guard.journal.current()
	if generation == k.written {
		return nil
	}
	record := keyedlog.Record{Key: k.Guard.node, Deleted: len(crashes) == 0}
	if len(crashes) > 0 {
		now := k.Guard.clock.Now()
		kept := journalRecord{WrittenAtMs: k.Wall.Now().UnixMilli(), Crashes: make([]ToldCrash, len(crashes))}
		for i, e := range crashes {
			kept.Crashes[i] = tell(e, now)
		}
		var err error
		if record.Value, err = json.Marshal(&kept); err != nil {
			return errors.Trace(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	k.epoch++
	if err := k.Topic.Append(ctx, keyedlog.Fence{Producer: CrashesTopicName + "/" + k.Incarnation, Epoch: k.epoch}, record); err != nil {
		return errors.Trace(err)
	}
	k.written = generation
	k.Guard.journal.markWritten(generation)
	return nil
}
