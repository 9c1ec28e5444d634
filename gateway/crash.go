package gateway

import (
	"context"
	"strconv"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
)

// recordCrash records that an upstream, or the connection to it, crashed under the request; opened tells whether the headers of
// an answer had come, silent whether the upstream just sent nothing for too long.
func (c *call) recordCrash(u *directory.Upstream, opened, silent bool) {
	told := c.g.Quarantine.UpstreamCrashed(quarantine.Attempt{ID: c.r.ID, Request: c.content, Upstream: u.ID,
		Incarnation: quarantine.NewID(u.ID, strconv.FormatInt(u.StartedAt, 10)), Opened: opened, Begun: c.events > 0, Silent: silent,
		Account: c.accountName(), Parts: c.parts, SentAt: c.lastSentAt})
	if told != nil {
		c.othersTold = told
	}
}

// refuseIfCrashing refuses a request under which too many upstreams crashed, in this attempt or in others, or under
// others with the same part of a prompt.
func (c *call) refuseIfCrashing() *result.Error {
	if !c.g.Quarantine.MaySend(c.content) {
		return crashesUpstreams()
	}
	if b := c.g.Quarantine.Refused(c.partIDs, c.accountName(), &c.trial); b != nil {
		return result.New(result.PartBlocked, "upstreams crashed under requests with part %q of the prompt; a retry doesn't help", b.Name)
	}
	return nil
}

// awaitPermit waits until a request under which upstreams crashed may be sent, and returns why it may not.
func (c *call) awaitPermit(ctx context.Context) *result.Error {
	switch c.permit.Await(ctx) {
	case quarantine.DeniedByCrashes:
		return crashesUpstreams()
	case quarantine.DeniedByOthers:
		return result.New(result.SentElsewhere, "upstreams crashed under the request, which others are sending").WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	return nil
}

func crashesUpstreams() *result.Error {
	return result.New(result.CrashesUpstreams, "%d upstreams crashed under the request; a retry doesn't help", quarantine.MaxRequestCrashes)
}

// awaitOthersTold waits until other nodes know that an upstream crashed under the request. A caller that is told
// of the failure sends its next attempt to one of them at once.
func (c *call) awaitOthersTold(ctx context.Context) { quarantine.AwaitTold(ctx, c.othersTold) }

// maxParts bounds the parts of one prompt that are looked at.
const maxParts = 64

// sharedParts returns the parts of a prompt that other requests may share: all but the last.
func sharedParts(r *Request) []quarantine.Part {
	if len(r.Prefix) < 2 {
		return nil
	}
	shared := r.Prefix[:min(maxParts, len(r.Prefix)-1)]
	parts := make([]quarantine.Part, len(shared))
	for i, p := range shared {
		parts[i] = quarantine.Part{ID: p.ID, Model: r.Model}
	}
	return parts
}
