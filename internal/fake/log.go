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

// Log is one node's view of the platform's log, with faults of its own.
type Log struct {
	inner   *Archive
	network *Network
	node    Endpoint
	gate    *Gate
	clock   clockwork.Clock
	probe   StepHook

	mu    sync.Mutex
	delay time.Duration
	lose  int
	// onAppend and onRead let a test plant a defect in what the node writes or
	// reads; nil otherwise.
	onAppend func(*recordv1.Batch)
	onRead   func(offset uint64, batch *recordv1.Batch)
}

var _ ports.Log = (*Log)(nil)

// NewLog returns a node's view of a log.
func NewLog(inner *Archive, network *Network, node Endpoint, gate *Gate, clock clockwork.Clock, probe StepHook) *Log {
	return &Log{inner: inner, network: network, node: node, gate: gate, clock: clock, probe: probe}
}

// SetDelay makes each call of this node take at least d longer.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// DropResponses makes the node's next n appends take effect and then fail.
func (l *Log) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Tamper plants defects: onAppend changes what the node writes, onRead what it reads.
func (l *Log) Tamper(onAppend func(*recordv1.Batch), onRead func(uint64, *recordv1.Batch)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onAppend, l.onRead = onAppend, onRead
}

func (l *Log) takeLoss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lose == 0 {
		return false
	}
	l.lose--
	return true
}

func (l *Log) hooks() (time.Duration, func(*recordv1.Batch), func(uint64, *recordv1.Batch)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.onAppend, l.onRead
}

// reach waits for the way to the log; an error means that nothing arrived there.
func (l *Log) reach(ctx context.Context) error {
	if err := l.gate.Enter(ctx); err != nil {
		return err
	}
	delay, _, _ := l.hooks()
	delay += l.network.latency(l.node, LogEndpoint, 0)
	select {
	case <-l.clock.After(delay):
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	return l.pass(ctx, l.node, LogEndpoint)
}

func (l *Log) pass(ctx context.Context, from, to Endpoint) error {
	if l.network.Reachable(from, to) {
		return errors.Trace(l.gate.Enter(ctx))
	}
	select {
	case <-ctx.Done():
	case <-l.gate.Dead():
	}
	return errors.Trace(errLost)
}

// Append implements ports.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	for _, step := range stepsOf(data) {
		l.probe(step, string(l.node))
	}
	if err := l.reach(ctx); err != nil {
		return 0, err
	}
	if _, tamper, _ := l.hooks(); tamper != nil {
		data = tampered(data, tamper)
	}
	offset, err := l.inner.Append(ctx, stream, data)
	l.probe(StepAppended, string(l.node))
	if err == nil && l.takeLoss() {
		return 0, errors.Trace(errLost)
	}
	if lost := l.pass(ctx, LogEndpoint, l.node); lost != nil {
		return 0, lost
	}
	return offset, errors.Trace(err)
}

// Read implements ports.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	if err := l.reach(ctx); err != nil {
		return ports.ReadResult{}, err
	}
	slice, err := l.readInner(ctx, stream, from, max, wait)
	if lost := l.pass(ctx, LogEndpoint, l.node); lost != nil {
		return ports.ReadResult{}, lost
	}
	if err != nil {
		return ports.ReadResult{}, err
	}
	return l.tamperedSlice(slice), nil
}

// readInner waits here and not in the log, on this node's clock.
func (l *Log) readInner(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	grown := l.inner.NextAppend()
	slice, err := l.inner.Read(ctx, stream, from, max, 0)
	if err != nil || len(slice.Records) > 0 || wait <= 0 {
		return slice, err
	}
	select {
	case <-grown:
	case <-l.clock.After(wait):
	case <-ctx.Done():
		return ports.ReadResult{}, errors.Trace(ctx.Err())
	}
	return l.inner.Read(ctx, stream, from, max, 0)
}

func (l *Log) tamperedSlice(slice ports.ReadResult) ports.ReadResult {
	_, _, tamper := l.hooks()
	if tamper == nil {
		return slice
	}
	for i, r := range slice.Records {
		slice.Records[i].Data = tampered(r.Data, func(batch *recordv1.Batch) { tamper(r.Offset, batch) })
	}
	return slice
}

// tampered returns a record after each of its batches was changed.
func tampered(data []byte, tamper func(*recordv1.Batch)) []byte {
	batches, _ := record.Decode(data)
	var changed [][]byte
	for _, batch := range batches {
		tamper(batch)
		one, _ := proto.Marshal(batch)
		changed = append(changed, one)
	}
	return record.Join(changed)
}
