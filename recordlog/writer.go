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
	// maxBatchEntries bounds the queued entries in one batch.
	maxBatchEntries = 2048
	// appendTimeout is how long one append may take before it is retried.
	appendTimeout = 5 * time.Second
	maxBackoff    = 2 * time.Second
)

// ErrReadBack is the cancellation cause of an append's context when the batch was read
// back from the log: the append took effect, whether or not it is answered.
var ErrReadBack = errors.New("the batch was read back")

// Writer appends the entries of one incarnation, one batch at a time. All methods
// are safe for concurrent use.
type Writer struct {
	appender   Appender
	writer     string
	clock      clockwork.Clock
	hlc        *event.HLC
	batchDelay time.Duration

	wake    chan struct{}
	sources []func() []*recordv1.Entry

	mu           sync.Mutex
	queue        queue
	seq          uint64
	pending      map[uint64][]*Ticket
	lastReadBack uint64
	// readBack is closed once the batch in flight was read back.
	readBack chan struct{}

	appends atomic.Uint64
	failing atomic.Bool
}

// NewWriter returns a writer that appends to a stream as an incarnation and collects
// entries for batchDelay before each append.
func NewWriter(log ports.Log, stream, incarnation string, clock clockwork.Clock, hlc *event.HLC, batchDelay time.Duration) *Writer {
	return &Writer{
		appender: NewLogAppender(log, stream, nil), writer: incarnation, clock: clock, hlc: hlc, batchDelay: batchDelay,
		wake: make(chan struct{}, 1), pending: map[uint64][]*Ticket{},
	}
}

// SetAppender replaces the default appender, which appends directly to the log. It must
// be called before Run.
func (w *Writer) SetAppender(appender Appender) { w.appender = appender }

// AddSource registers a function that contributes entries whenever a batch is
// built. It must be called before Run.
func (w *Writer) AddSource(source func() []*recordv1.Entry) { w.sources = append(w.sources, source) }

// Submit queues an entry.
func (w *Writer) Submit(entry *recordv1.Entry) *Ticket {
	ticket := newTicket(entry)
	w.mu.Lock()
	w.queue.add(ticket)
	w.mu.Unlock()
	w.Wake()
	return ticket
}

// Wake makes the writer build a batch soon, for sources that have entries.
func (w *Writer) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Appends returns how many appends were tried, including batches forwarded to a gatherer.
func (w *Writer) Appends() uint64 { return w.appends.Load() }

// Failing reports whether the last append failed.
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
		case <-w.clock.After(w.batchDelay):
		}
		if batch := w.buildBatch(); batch != nil {
			w.appendUntilConfirmed(ctx, batch)
		}
	}
}

func (w *Writer) buildBatch() *recordv1.Batch {
	w.mu.Lock()
	tickets := w.queue.take(maxBatchEntries)
	moreQueued := w.queue.len() > 0
	w.mu.Unlock()
	if moreQueued {
		w.Wake()
	}

	var sent []*Ticket
	var entries []*recordv1.Entry
	for _, t := range tickets {
		if t.markSent() {
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

// appendUntilConfirmed retries the append until it succeeds or the batch was read back.
// An append whose response is lost may have taken effect; repeating it under the same
// sequence number is harmless, since the fold voids the second copy. Moving on to the next
// sequence number before this batch is confirmed would be harmful: the fold would void
// this batch, and its settlements would go unbilled.
func (w *Writer) appendUntilConfirmed(ctx context.Context, batch *recordv1.Batch) {
	data, err := proto.Marshal(batch)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = maxBackoff
	readBack := w.watchReadBack(batch.GetSeq())
	for ctx.Err() == nil {
		w.appends.Add(1)
		if w.tryAppend(ctx, data, readBack) {
			return
		}
		select {
		case <-ctx.Done():
		case <-readBack:
			return
		case <-w.clock.After(retry.NextBackOff()):
		}
	}
}

// tryAppend appends once; true means that the batch is in the log. It returns as soon as
// the batch was read back: a lost response would otherwise delay all later batches until
// appendTimeout is over.
func (w *Writer) tryAppend(ctx context.Context, data []byte, readBack <-chan struct{}) bool {
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	appendCtx, cancel := clockwork.WithTimeout(ctx, w.clock, appendTimeout)
	done := make(chan error, 1)
	go func() {
		defer cancel()
		done <- w.appender.Append(appendCtx, data)
	}()
	select {
	case <-readBack:
		cancelCause(ErrReadBack)
		w.failing.Store(false)
		return true
	case err := <-done:
		w.failing.Store(err != nil)
		return err == nil
	}
}

// watchReadBack returns a channel that is closed once the batch with a sequence number was
// read back.
func (w *Writer) watchReadBack(seq uint64) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readBack = make(chan struct{})
	w.signalReadBack(seq)
	return w.readBack
}

// signalReadBack closes the channel of the batch in flight if the records read back reach
// its sequence number seq, which is the writer's last one.
func (w *Writer) signalReadBack(seq uint64) {
	if w.readBack == nil || w.lastReadBack < seq {
		return
	}
	select {
	case <-w.readBack:
	default:
		close(w.readBack)
	}
}

// HandleFolded delivers the verdicts of a batch that the Follower applied. It ignores
// batches of other writers and void duplicates.
func (w *Writer) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	if batch.GetWriter() != w.writer {
		return
	}
	w.mu.Lock()
	tickets := w.pending[batch.GetSeq()]
	delete(w.pending, batch.GetSeq())
	w.lastReadBack = max(w.lastReadBack, batch.GetSeq())
	w.signalReadBack(w.seq)
	w.mu.Unlock()
	for i, ticket := range tickets {
		ticket.verdict <- verdicts[i]
	}
}

// HandleRestore must be called after the state was restored; seq is the writer's last
// sequence number in it. The log no longer shows the verdicts of entries up to seq, so
// their tickets report that the outcome is open.
func (w *Writer) HandleRestore(seq uint64) {
	w.mu.Lock()
	var open []*Ticket
	for sent, tickets := range w.pending {
		if sent <= seq {
			open = append(open, tickets...)
			delete(w.pending, sent)
		}
	}
	w.lastReadBack = max(w.lastReadBack, seq)
	w.signalReadBack(w.seq)
	w.mu.Unlock()
	for _, ticket := range open {
		ticket.verdict <- fold.Verdict{Code: result.ChangeOutcomeOpen, Message: "the log no longer shows the entry"}
	}
}
