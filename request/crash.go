package request

import (
	"context"
	"strconv"
	"time"

	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
)

// chatContent returns the ID of what a completion asks for, the same in each attempt of its caller.
func chatContent(account string, body []byte) quarantine.ID {
	return quarantine.NewID("chat", account, quarantine.Digest(body))
}

// callContent returns the ID of what a call asks for, the same in each attempt of its caller. Without a key or a ticket it is all that an
// upstream gets; calls of several callers may be equal then.
func callContent(account string, call ServiceCall) quarantine.ID {
	switch {
	case call.IdempotencyKey != "":
		return quarantine.NewID("key", account, call.IdempotencyKey)
	case call.Ticket != "":
		return quarantine.NewID("ticket", call.Ticket)
	}
	return quarantine.NewID("call", account, call.Method, call.Service, call.Path, quarantine.Digest(call.Body))
}

// refuseIfCrashing refuses a request under which too many upstreams crashed, in this attempt or in others.
func (s *Server) refuseIfCrashing(content quarantine.ID) error {
	if s.Quarantine.MaySend(content) {
		return nil
	}
	return crashesUpstreams()
}

func crashesUpstreams() error {
	return result.New(result.CrashesUpstreams, "%d upstreams crashed under the request; a retry doesn't help", quarantine.MaxRequestCrashes)
}

// awaitPermit waits until a request under which upstreams crashed may be sent, and returns why it may not.
func (s *Server) awaitPermit(ctx context.Context, permit *quarantine.Permit) error {
	switch permit.Await(ctx) {
	case quarantine.DeniedByCrashes:
		return crashesUpstreams()
	case quarantine.DeniedByOthers:
		return errSentElsewhere()
	}
	return nil
}

func errSentElsewhere() error {
	return result.New(result.SentElsewhere, "upstreams crashed under the request, which others are sending").WithRetryAfter(sentElsewhereRetryAfter)
}

// sentElsewhereRetryAfter is when callers come back whose request is being sent by others: about as long as an answer takes.
const sentElsewhereRetryAfter = time.Second

// refuseIfBlocked refuses a completion with a part under which upstreams crashed one after the other.
func (r *chatRun) refuseIfBlocked() error {
	b := r.server.Quarantine.Refused(r.partIDs, r.account.GetName(), &r.trial)
	if b == nil {
		return nil
	}
	refusal := result.New(result.PartBlocked, "upstreams crashed under requests with part %q of the prompt; a retry doesn't help", b.Name)
	if r.mayHaveRun {
		return refusal.WithMayHaveRun()
	}
	return refusal
}

// recordCrash records that an upstream, or the connection to it, crashed under a request, if that is what an error says. The
// returned channel is closed once the other nodes know.
func (s *Server) recordCrash(ctx context.Context, a quarantine.Attempt, err error) <-chan struct{} {
	if err == nil || ctx.Err() != nil || !result.From(err).ConnectionLost {
		return nil
	}
	a.Silent = result.CodeOf(err) == result.UpstreamSilent
	a.Incarnation, a.Life = quarantine.NewID(a.Upstream), s.lives.crashed(a.Upstream)
	return s.Quarantine.UpstreamCrashed(a)
}

// recordCrash records that the engine crashed, if that is what an error says.
func (r *chatRun) recordCrash(ctx context.Context, opened, begun bool, err error) {
	attempt := quarantine.Attempt{ID: r.grant.Request().String(), Request: r.content, Upstream: r.target.GetName(), Opened: opened, Begun: begun,
		Account: r.account.GetName(), Parts: r.parts, SentAt: r.sentAt}
	if told := r.server.recordCrash(ctx, attempt, err); told != nil {
		r.othersTold = told
	}
}

// maxParts bounds the parts of one prompt that are looked at: 16 KB of its beginning.
const maxParts = 64

// sharedParts returns the parts of the prompt that other requests may share: its whole blocks. The hash of a block covers
// all before it, so a part is a beginning of the prompt.
func (r *chatRun) sharedParts() []quarantine.Part {
	hashes := r.prompt.Prefix[:min(maxParts, len(r.prompt.Prefix))]
	parts := make([]quarantine.Part, len(hashes))
	for i, hash := range hashes {
		parts[i] = quarantine.Part{ID: strconv.FormatUint(hash, 16), Model: r.model}
	}
	return parts
}
