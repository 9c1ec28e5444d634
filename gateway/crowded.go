package gateway

import (
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/result"
)

// Head is what the headers of a request tell before its body is read.
type Head struct {
	// ID identifies this attempt of the caller.
	ID, Host, Path, Key string
	// BodyBytes is the length of the body; negative if it isn't known. UnaskedBytes bounds how much of it comes although the
	// request is refused.
	BodyBytes, UnaskedBytes int64
	// MaxOutput is the number of output tokens that the request allows.
	MaxOutput int64
	// Resumes is set if the caller asks for the rest of a stream.
	Resumes bool
}

// LimitsLink reports whether requests are refused while the node's link is crowded.
func (g *Gateway) LimitsLink() bool { return g.LinkAdmission != nil && g.LinkState != nil }

// LinkCrowded reports whether requests are refused now because the node's link is crowded.
func (g *Gateway) LinkCrowded() bool {
	return g.LimitsLink() && g.LinkAdmission.Crowded(g.Clock.Now(), g.LinkState())
}

// RefuseCrowded refuses a request, before its body is read, if the node's link is crowded and others use less of it. It reports
// whether it did. The rest of a stream is never refused: its beginning would have been sent for nothing.
func (g *Gateway) RefuseCrowded(h *Head, sink Sink) bool {
	if !g.LimitsLink() || h.Resumes {
		return false
	}
	view := g.Catalog.Current()
	if view == nil {
		return false
	}
	route := view.Match(h.Host, h.Path)
	if route == nil {
		return false
	}
	asked := linkload.Request{Route: route.Name, BodyBytes: h.BodyBytes, UnaskedBytes: h.UnaskedBytes, MaxOutput: h.MaxOutput}
	if account := view.Authenticate(h.Key); account != nil {
		asked.Account = account.Name
	}
	d := g.LinkAdmission.Decide(g.Clock.Now(), g.LinkState(), asked, random())
	g.Metrics.recordLinkDecision(d)
	if d.Admitted {
		return false
	}
	c := &call{g: g, r: &Request{ID: h.ID}, sink: sink}
	c.refuse(result.New(result.LinkCrowded, "the node's link is crowded, and others use less of it than the request's %d bytes", d.Saved).WithRetryAfter(g.settings.Shedding.RetryAfter(random())))
	return true
}

// countingSink counts the bytes of a response.
type countingSink struct {
	Sink
	bytes int64
}

// Write implements Sink.
func (s *countingSink) Write(p []byte) error {
	s.bytes += int64(len(p))
	return s.Sink.Write(p)
}

// observeResponse records the size of a complete response, by which later requests of the route are judged.
func (c *call) observeResponse() {
	if s, ok := c.sink.(*countingSink); ok && !c.r.HasResumeAfter {
		c.g.LinkAdmission.ObserveResponse(c.route.Name, c.r.MaxOutput, s.bytes)
	}
}
