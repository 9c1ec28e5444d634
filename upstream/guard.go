package upstream

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Access knows which upstreams want no requests.
type Access interface {
	Observer
	// PauseLeft returns how much is left of the pause that an upstream asked for; 0 for none.
	PauseLeft(to *operatorv1.Upstream) time.Duration
	// SaidLeaving reports whether the upstream has said that it is leaving.
	SaidLeaving(to *operatorv1.Upstream) bool
}

// Guard is the Client through which a node sends everything. It reports the notices of
// upstreams to its Access and sends nothing to an upstream during a pause, except what cancels
// a request: the upstream does less work then, and nobody waits for the answer. An upstream that
// said that it is leaving gets nothing new; requests that run there can still be settled.
type Guard struct {
	Client Client
	// Streams resumes streams; may be nil if Resume isn't called.
	Streams Resumer
	Access  Access
}

var (
	_ Client  = (*Guard)(nil)
	_ Resumer = (*Guard)(nil)
)

// Chat implements Client.
func (g *Guard) Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error) {
	if err := g.checkNew(to); err != nil {
		return nil, err
	}
	return g.Client.Chat(WithObserver(ctx, g.Access), to, r)
}

// Call implements Client.
func (g *Guard) Call(ctx context.Context, to *operatorv1.Upstream, r CallRequest) (CallResponse, error) {
	if err := g.checkNew(to); err != nil {
		return CallResponse{}, err
	}
	return g.Client.Call(WithObserver(ctx, g.Access), to, r)
}

// Usage implements Client.
func (g *Guard) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error) {
	if err := g.checkPause(to); err != nil {
		return UsageReport{}, err
	}
	return g.Client.Usage(WithObserver(ctx, g.Access), to, id)
}

// Cancel implements Client.
func (g *Guard) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	return g.Client.Cancel(WithObserver(ctx, g.Access), to, id)
}

// Resume implements Resumer. That the rest isn't asked for says nothing of the request itself,
// which has run. An upstream that is leaving won't give the rest later either.
func (g *Guard) Resume(ctx context.Context, to *operatorv1.Upstream, id string, from uint64) (ChatStream, error) {
	if g.Access.SaidLeaving(to) {
		return nil, result.New(result.StreamLost, "%s is leaving and gives no stream again", to.GetName())
	}
	if err := g.checkPause(to); err != nil {
		return nil, result.From(err).WithMayHaveRun()
	}
	return g.Streams.Resume(WithObserver(ctx, g.Access), to, id, from)
}

// checkNew returns the error of new work that isn't sent because its upstream wants none.
func (g *Guard) checkNew(to *operatorv1.Upstream) error {
	if g.Access.SaidLeaving(to) {
		return result.New(result.NoUpstream, "%s is leaving", to.GetName()).WithUnsent()
	}
	return g.checkPause(to)
}

// checkPause returns the error of a request that isn't sent because its upstream is paused.
func (g *Guard) checkPause(to *operatorv1.Upstream) error {
	left := g.Access.PauseLeft(to)
	if left <= 0 {
		return nil
	}
	return result.New(result.NoUpstream, "%s asked for a pause, of which %s is left", to.GetName(), left.Round(time.Millisecond)).
		WithRetryAfter(left).WithPause(left).WithUnsent()
}
