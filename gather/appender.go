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

// Config holds the dependencies of an Appender.
type Config struct {
	Self *recordv1.NodeInfo
	// Members returns the other nodes as this one sees them.
	Members func() []membership.Member
	// Local is this node's own gatherer, Direct appends this node's batches to the log.
	Local  *Gatherer
	Direct recordlog.Appender
	Peers  peer.Caller
	Clock  clockwork.Clock
	Events *event.Recorder
	Policy Policy
	// GatheredSupported reports whether every open node reads gathered records
	// (record.FormsGathered).
	GatheredSupported func() bool
}

// Appender appends one writer's batches to the log through the data centre's gatherer,
// or directly when the gatherer doesn't respond. It implements recordlog.Appender.
type Appender struct {
	config Config

	mu           sync.Mutex
	backoff      time.Duration
	backoffUntil time.Time

	forwarded atomic.Uint64
	fallbacks atomic.Uint64
}

var _ recordlog.Appender = (*Appender)(nil)

// NewAppender returns an appender.
func NewAppender(config Config) *Appender { return &Appender{config: config} }

// Forwarded returns how many batches a gatherer appended.
func (a *Appender) Forwarded() uint64 { return a.forwarded.Load() }

// Fallbacks returns how many batches were appended directly after a gatherer failed.
func (a *Appender) Fallbacks() uint64 { return a.fallbacks.Load() }

// Append implements recordlog.Appender.
//
// A batch that a gatherer didn't confirm is appended directly, under the same sequence.
// The gatherer may be dead, paused, cut off, or have appended it and lost the response;
// in each case the copy that reaches the log first counts and the other is void. A new
// sequence would have to wait until the batch is known to be void, or its settlements
// would be billed twice.
func (a *Appender) Append(ctx context.Context, batch []byte) error {
	gatherer := ChooseGatherer(a.config.Self, a.config.Members(), a.config.Policy)
	if gatherer == nil || !mayShareRecord(batch) || a.inBackoff() || !a.config.GatheredSupported() {
		return a.config.Direct.Append(ctx, batch)
	}
	err := a.forward(ctx, gatherer, batch)
	if err == nil || errors.Is(context.Cause(ctx), recordlog.ErrReadBack) {
		a.recordSuccess()
		return nil
	}
	if ctx.Err() != nil {
		return errors.Trace(err)
	}
	a.recordFailure(gatherer, err)
	return a.config.Direct.Append(ctx, batch)
}

func (a *Appender) forward(ctx context.Context, gatherer *recordv1.NodeInfo, batch []byte) error {
	if gatherer.GetIncarnation() == a.config.Self.GetIncarnation() {
		_, err := a.config.Local.Append(ctx, batch, a.config.Policy.Timeout)
		return errors.Trace(err)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.config.Clock, a.config.Policy.Timeout)
	defer cancel()
	response, err := a.config.Peers.Call(ctx, gatherer.GetPeerAddress(), &fleetv1.Request{
		From: a.config.Self.GetIncarnation(), Hlc: uint64(a.config.Events.Clock().Now()),
		Body: &fleetv1.Request_HandOn{HandOn: &fleetv1.HandOn{Batch: batch, WaitMs: uint32(a.config.Policy.Timeout.Milliseconds())}},
	})
	if err != nil {
		return errors.Trace(err)
	}
	a.config.Events.Clock().Observe(event.Timestamp(response.GetHlc()))
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	if response.GetHandedOn().GetOffset() == 0 {
		return errors.New("the gatherer's response lacks an offset")
	}
	return nil
}

func (a *Appender) inBackoff() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.Clock.Now().Before(a.backoffUntil)
}

func (a *Appender) recordSuccess() {
	a.forwarded.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoff = 0
}

// recordFailure makes the node append directly for the backoff time. Otherwise each batch,
// and each claim in it, would first wait for the silent gatherer until the members' views
// show that it is gone; they may never show a paused one.
func (a *Appender) recordFailure(gatherer *recordv1.NodeInfo, cause error) {
	a.fallbacks.Add(1)
	a.mu.Lock()
	a.backoff = min(max(2*a.backoff, a.config.Policy.MinBackoff), a.config.Policy.MaxBackoff)
	backoff := a.backoff
	a.backoffUntil = a.config.Clock.Now().Add(backoff)
	a.mu.Unlock()
	a.config.Events.Record(event.GathererFailed, "peer", gatherer.GetIncarnation(), "why", cause, "rest", backoff)
}
