package gather

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// Config is what an Appender needs.
type Config struct {
	Self *recordv1.NodeInfo
	// Members returns the other nodes as this one sees them.
	Members func() []membership.Member
	// Local is this node's own gatherer, Direct appends for this node alone.
	Local  *Gatherer
	Direct recordlog.Appender
	Peers  peer.Caller
	Clock  clockwork.Clock
	Events *event.Recorder
	Policy Policy
	// GatheredSupported tells whether every open node reads gathered records (record.Forms).
	GatheredSupported func() bool
}

// Appender takes one writer's batches to the log by way of the data centre's gatherer,
// and for itself where that doesn't answer. It is a recordlog.Appender.
type Appender struct {
	c Config

	mu    sync.Mutex
	rest  time.Duration
	until time.Time

	handedOn atomic.Uint64
	failed   atomic.Uint64
}

var _ recordlog.Appender = (*Appender)(nil)

// NewAppender returns an appender.
func NewAppender(c Config) *Appender { return &Appender{c: c} }

// Forwarded returns how many batches a gatherer took to the log.
func (a *Appender) Forwarded() uint64 { return a.handedOn.Load() }

// Fallbacks returns how many batches were appended here after a gatherer had failed.
func (a *Appender) Fallbacks() uint64 { return a.failed.Load() }

// Append implements recordlog.Appender.
//
// A batch that a gatherer didn't answer for is appended again here, under the same
// sequence. A gatherer may be dead, paused, cut off, or have appended it and lost the
// answer; whichever it was, the first of the two that reaches the log counts and the
// other is void. Another sequence would need to wait until the batch is known to be
// void, or its settlements would be billed twice.
func (a *Appender) Append(ctx context.Context, batch []byte) error {
	gatherer := ChooseGatherer(a.c.Self, a.c.Members(), a.c.Policy)
	if gatherer == nil || !gathers(batch) || a.resting() || !a.c.GatheredSupported() {
		return a.c.Direct.Append(ctx, batch)
	}
	err := a.handOn(ctx, gatherer, batch)
	if err == nil || errors.Is(context.Cause(ctx), recordlog.ErrReadBack) {
		a.succeeded()
		return nil
	}
	if ctx.Err() != nil {
		return errors.Trace(err)
	}
	a.gaveUp(gatherer, err)
	return a.c.Direct.Append(ctx, batch)
}

func (a *Appender) handOn(ctx context.Context, gatherer *recordv1.NodeInfo, batch []byte) error {
	if gatherer.GetIncarnation() == a.c.Self.GetIncarnation() {
		_, err := a.c.Local.Append(ctx, batch, a.c.Policy.Timeout)
		return errors.Trace(err)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.c.Clock, a.c.Policy.Timeout)
	defer cancel()
	response, err := a.c.Peers.Call(ctx, gatherer.GetPeerAddress(), &fleetv1.Request{
		From: a.c.Self.GetIncarnation(), Hlc: uint64(a.c.Events.Clock().Now()),
		Body: &fleetv1.Request_HandOn{HandOn: &fleetv1.HandOn{Batch: batch, WaitMs: uint32(a.c.Policy.Timeout.Milliseconds())}},
	})
	if err != nil {
		return errors.Trace(err)
	}
	a.c.Events.Clock().Observe(event.Timestamp(response.GetHlc()))
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	if response.GetHandedOn().GetOffset() == 0 {
		return errors.New("the gatherer answered without an offset")
	}
	return nil
}

func (a *Appender) resting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.c.Clock.Now().Before(a.until)
}

func (a *Appender) succeeded() {
	a.handedOn.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rest = 0
}

// gaveUp lets the node append for itself for a while. Without it each batch would first
// wait for the silent gatherer, and each claim with it, until the members' views show
// that it is gone; a paused one they may not show at all.
func (a *Appender) gaveUp(gatherer *recordv1.NodeInfo, why error) {
	a.failed.Add(1)
	a.mu.Lock()
	a.rest = min(max(2*a.rest, a.c.Policy.MinBackoff), a.c.Policy.MaxBackoff)
	rest := a.rest
	a.until = a.c.Clock.Now().Add(rest)
	a.mu.Unlock()
	a.c.Events.Record(event.GathererFailed, "peer", gatherer.GetIncarnation(), "why", why, "rest", rest)
}
