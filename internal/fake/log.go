package fake

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
)

// Log is the platform's log as one node reaches it, with faults injected for this node only.
type Log struct {
	inner   *Archive
	network *Network
	node    Endpoint
	gate    *Gate
	clock   clockwork.Clock
	onStep  StepHook

	mu              sync.Mutex
	delay           time.Duration
	responsesToDrop int
	// mutateAppend and mutateRead inject defects into what the node writes or reads;
	// nil for none.
	mutateAppend func(*recordv1.Batch)
	mutateRead   func(offset uint64, batch *recordv1.Batch)
}

var _ ports.Log = (*Log)(nil)

// NewLog returns the view of inner that the given node gets.
func NewLog(inner *Archive, network *Network, node Endpoint, gate *Gate, clock clockwork.Clock, onStep StepHook) *Log {
	return &Log{inner: inner, network: network, node: node, gate: gate, clock: clock, onStep: onStep}
}

// SetDelay adds at least d to each call of this node.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// DropResponses makes the node's next n appends take effect but return an error.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// Tamper injects defects: mutateAppend changes what the node writes, mutateRead what it reads.
func (l *Log) Tamper(mutateAppend func(*recordv1.Batch), mutateRead func(uint64, *recordv1.Batch)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mutateAppend, l.mutateRead = mutateAppend, mutateRead
}

func (l *Log) takeResponseDrop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responsesToDrop == 0 {
		return false
	}
	l.responsesToDrop--
	return true
}

func (l *Log) settings() (time.Duration, func(*recordv1.Batch), func(uint64, *recordv1.Batch)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.mutateAppend, l.mutateRead
}

// sendRequest waits out the latency to the log; an error means that nothing reached it.
func (l *Log) sendRequest(ctx context.Context) error {
	if err := l.gate.Enter(ctx); err != nil {
		return err
	}
	delay, _, _ := l.settings()
	delay += l.network.latency(l.node, LogEndpoint, 0)
	select {
	case <-l.clock.After(delay):
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	return l.awaitDelivery(ctx, l.node, LogEndpoint)
}

// awaitDelivery passes the node's gate if the link is up; else it returns an error once ctx
// ends or the node is killed.
func (l *Log) awaitDelivery(ctx context.Context, from, to Endpoint) error {
	if l.network.Reachable(from, to) {
		return errors.Trace(l.gate.Enter(ctx))
	}
	select {
	case <-ctx.Done():
	case <-l.gate.Dead():
	}
	return errors.Trace(errNoResponse)
}

// Append implements ports.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	for _, step := range stepsOf(data) {
		l.onStep(step, string(l.node))
	}
	if err := l.sendRequest(ctx); err != nil {
		return 0, err
	}
	if _, mutate, _ := l.settings(); mutate != nil {
		data = tamper(data, mutate)
	}
	offset, err := l.inner.Append(ctx, stream, data)
	l.onStep(StepAppended, string(l.node))
	if err == nil && l.takeResponseDrop() {
		return 0, errors.Trace(errNoResponse)
	}
	if deliveryErr := l.awaitDelivery(ctx, LogEndpoint, l.node); deliveryErr != nil {
		return 0, deliveryErr
	}
	return offset, errors.Trace(err)
}

// Read implements ports.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if err := l.sendRequest(ctx); err != nil {
		return ports.ReadResult{}, err
	}
	slice, err := l.readOrWait(ctx, stream, from, max, wait)
	if deliveryErr := l.awaitDelivery(ctx, LogEndpoint, l.node); deliveryErr != nil {
		return ports.ReadResult{}, deliveryErr
	}
	if err != nil {
		return ports.ReadResult{}, err
	}
	return l.tamperSlice(slice), nil
}

// readOrWait long-polls here instead of in the log, so that the wait uses this node's clock.
func (l *Log) readOrWait(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	appended := l.inner.NextAppend()
	slice, err := l.inner.Read(ctx, stream, from, max, 0)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-appended:
	case <-l.clock.After(wait):
	case <-ctx.Done():
		return ports.ReadResult{}, errors.Trace(ctx.Err())
	}
	return l.inner.Read(ctx, stream, from, max, 0)
}

func (l *Log) tamperSlice(slice ports.ReadResult) ports.ReadResult {
	_, _, mutate := l.settings()
	if mutate == nil {
		return slice
	}
	for i, r := range slice.Records {
		slice.Records[i].Data = tamper(r.Data, func(batch *recordv1.Batch) { mutate(r.Offset, batch) })
	}
	return slice
}

// tamper returns the record with mutate applied to each of its batches.
func tamper(data []byte, mutate func(*recordv1.Batch)) []byte {
	batches, _ := record.Decode(data)
	var changed [][]byte
	for _, batch := range batches {
		mutate(batch)
		encoded, _ := proto.Marshal(batch)
		changed = append(changed, encoded)
	}
	return record.Join(changed)
}
