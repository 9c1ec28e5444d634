package recordlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// maxBatchEntries bounds one append.
	maxBatchEntries = 2048
	// appendTimeout is how long one append may take before it is tried again.
	appendTimeout = 5 * time.Second
	maxBackoff    = 2 * time.Second
)

// ErrReadBack is the cause of a context's end when the batch whose append it bounds was
// read back from the log: it counts, whatever becomes of the answer.
var ErrReadBack = errors.New("the batch was read back")

// Writer appends the entries of one incarnation, one batch at a time. All methods
// are safe for concurrent use.
type Writer struct {
	appender Appender
	writer   string
	clock    clockwork.Clock
	hlc      *event.HLC
	gather   time.Duration

	wake    chan struct{}
	sources []func() []*recordv1.Entry

	mu      sync.Mutex
	waiting queue
	seq     uint64
	pending map[uint64][]*Ticket
	read    uint64
	// known is closed once the batch that is being appended was read back.
	known chan struct{}

	appends atomic.Uint64
	failing atomic.Bool
}

// NewWriter returns a writer that appends to a stream as an incarnation and
// gathers entries for the given time before each append.
func NewWriter(log ports.Log, stream, incarnation string, clock clockwork.Clock, hlc *event.HLC, gather time.Duration) *Writer {
	return &Writer{
		appender: NewLogAppender(log, stream, nil), writer: incarnation, clock: clock, hlc: hlc, gather: gather,
		wake: make(chan struct{}, 1), pending: map[uint64][]*Ticket{},
	}
}

// SetAppender makes the writer append by way of another appender than the log itself. It
// must be called before Run.
func (w *Writer) SetAppender(appender Appender) { w.appender = appender }

// AddSource registers a function that contributes entries whenever a batch is
// built. It must be called before Run.
func (w *Writer) AddSource(source func() []*recordv1.Entry) { w.sources = append(w.sources, source) }

// Submit queues an entry.
func (w *Writer) Submit(entry *recordv1.Entry) *Ticket {
	ticket := newTicket(entry)
	w.mu.Lock()
	w.waiting.add(ticket)
	w.mu.Unlock()
	w.Wake()
	return ticket
}

// Wake makes the writer build a batch soon, for sources that have something.
func (w *Writer) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Appends returns how many appends were tried, batches handed on included.
func (w *Writer) Appends() uint64 { return w.appends.Load() }

// Failing tells whether the last append failed.
func (w *Writer) Failing() bool { return w.failing.Load() }

// Run appends batches until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-w.clock.After(w.gather):
		}
		if batch := w.build(); batch != nil {
			w.appendUntilKnown(ctx, batch)
		}
	}
}

func (w *Writer) build() *recordv1.Batch {
	w.mu.Lock()
	tickets := w.waiting.take(maxBatchEntries)
	again := w.waiting.len() > 0
	w.mu.Unlock()
	if again {
		w.Wake()
	}

	var sent []*Ticket
	var entries []*recordv1.Entry
	for _, t := range tickets {
		if t.send() {
			sent = append(sent, t)
			entries = append(entries, t.entry)
		}
	}
	for _, source := range w.sources {
		entries = append(entries, source()...)
	}
	if len(entries) == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.pending[w.seq] = sent
	return &recordv1.Batch{Writer: w.writer, Seq: w.seq, Hlc: uint64(w.hlc.Now()), Entries: entries}
}

// appendUntilKnown appends the batch until an append is answered or the batch was
// read back. An append whose answer is lost may have taken effect; appending it
// again under the same sequence is harmless, since the fold voids the second.
// Going on to the next sequence before this one is known would be harmful: the
// fold would void this batch, and its settlements would go unbilled.
func (w *Writer) appendUntilKnown(ctx context.Context, batch *recordv1.Batch) {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = maxBackoff
	known := w.watch(batch.GetSeq())
	for ctx.Err() == nil {
		w.appends.Add(1)
		if w.attempt(ctx, data, known) {
			return
		}
		select {
		case <-ctx.Done():
		case <-known:
			return
		case <-w.clock.After(pause.NextBackOff()):
		}
	}
}

// attempt appends once; true means that the batch is in the log. One that is read
// back ends the attempt: an answer that was lost would otherwise hold up all that
// comes after it until the attempt's time is over.
func (w *Writer) attempt(ctx context.Context, data []byte, known <-chan struct{}) bool {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	attempt, cancel := clockwork.WithTimeout(ctx, w.clock, appendTimeout)
	answer := make(chan error, 1)
	go func() {
		defer cancel()
		answer <- w.appender.Append(attempt, data)
	}()
	select {
	case <-known:
		end(ErrReadBack)
		w.failing.Store(false)
		return true
	case err := <-answer:
		w.failing.Store(err != nil)
		return err == nil
	}
}

// watch returns a channel that is closed once the batch of a sequence was read back.
func (w *Writer) watch(seq uint64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = make(chan struct{})
	w.tellKnown(seq)
	return w.known
}

// tellKnown closes the channel of the batch that is being appended if what was read
// reaches its sequence, which is the writer's last one.
func (w *Writer) tellKnown(seq uint64) {
	if w.known == nil || w.read < seq {
		return
	}
	select {
	case <-w.known:
	default:
		close(w.known)
	}
}

// HandleFolded delivers the verdicts of a batch that the Follower folded. Batches of
// other writers and void repetitions are passed over.
func (w *Writer) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	if batch.GetWriter() != w.writer {
		return
	}
	w.mu.Lock()
	tickets := w.pending[batch.GetSeq()]
	delete(w.pending, batch.GetSeq())
	w.read = max(w.read, batch.GetSeq())
	w.tellKnown(w.seq)
	w.mu.Unlock()
	for i, ticket := range tickets {
		ticket.verdict <- verdicts[i]
	}
}

// HandleRestore is told that the state was restored as of the writer's sequence seq. What
// became of the entries up to there can't be learnt from the log any more, so their
// tickets say that the outcome is open.
func (w *Writer) HandleRestore(seq uint64) {
	w.mu.Lock()
	var open []*Ticket
	for sent, tickets := range w.pending {
		if sent <= seq {
			open = append(open, tickets...)
			delete(w.pending, sent)
		}
	}
	w.read = max(w.read, seq)
	w.tellKnown(w.seq)
	w.mu.Unlock()
	for _, ticket := range open {
		ticket.verdict <- fold.Verdict{Code: result.ChangeOutcomeOpen, Message: "the log no longer shows the entry"}
	}
}
