package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// The version of the upstream at which a stream goes on, compared with the one that began it, in metrics.
const (
	sameVersion  = "same_version"
	otherVersion = "other_version"
)

// takeUpMargin is how long after the caller's time limit a stream may still be taken up: what callers and nodes
// take for the time left differs by their round trips.
const takeUpMargin = 2 * time.Second

// streamID returns the ID of the attempt that brought the stream's first event, as the caller names it when it
// takes the stream up.
func (c *call) streamID() string {
	if c.r.Resumes != "" {
		return c.r.Resumes
	}
	return c.r.ID
}

// resolveOrigin finds out where a stream that the caller takes up began. A stream of unknown origin is refused:
// events of another version would not fit, and neither the caller nor the upstream would notice.
func (c *call) resolveOrigin(ctx context.Context) *result.Error {
	if c.route.Kind != catalog.Streaming || !c.r.HasResumeAfter {
		return nil
	}
	startedAt := c.g.Clock.Now()
	found, err := c.g.Origins.Resolve(ctx, c.service.Name, c.r.Resumes)
	if err == nil && !found.Origin.IsListed() {
		err = errors.New("the upstream that began it had restarted")
	}
	if err == nil && found.IsInferred() && c.mayHaveBegunElsewhere() {
		err = errors.New("it may have begun at another service of the route")
	}
	if err == nil && found.Source == streamorigin.OnlyBase && c.mayOutliveOrigin() {
		err = errors.New("it may have begun longer ago than origins are kept")
	}
	if err != nil {
		c.g.Metrics.recordTakenUp(originUnknown)
		return result.New(result.VersionUnknown, "where the stream began isn't known: %v", err).WithRetryAfter(c.g.settings.BusyRetryAfter)
	}
	c.g.Metrics.recordTakenUp(string(found.Source))
	c.g.Events.Record(event.StreamTakenUp, "request", c.r.ID, "resumes", c.r.Resumes, "after", c.r.ResumeAfter, "service", found.Origin.Service,
		"version", found.Origin.Version, "source", string(found.Source), "took_ms", c.g.since(startedAt).Milliseconds())
	if s := c.view.Service(found.Origin.Service); s != nil && c.route.Serves(s.Name) {
		c.service = s
	}
	c.origin.Store(&found.Origin)
	return nil
}

// mayHaveBegunElsewhere reports whether the route sends streams to other services of model engines than the one drawn for
// this request.
func (c *call) mayHaveBegunElsewhere() bool {
	return slices.ContainsFunc(c.route.Split, func(s catalog.WeightedService) bool {
		other := c.view.Service(s.Service)
		return s.Service != c.service.Name && other != nil && other.Engine != nil
	})
}

// mayOutliveOrigin reports whether streams of the route may be taken up after nodes have dropped their origins.
func (c *call) mayOutliveOrigin() bool {
	return c.route.Timeout <= 0 || c.route.Timeout+takeUpMargin > streamorigin.MaxLife
}

// originUnknown counts, in metrics, the streams that were refused as where they began wasn't known.
const originUnknown = "unknown"

// doubtfulFailures is the failure score above which an upstream may have restarted: one failure raises it above
// for some 14 s, longer than an entry takes to lapse and to come back.
const doubtfulFailures = 0.01

// unlistedAfter is how many sends must have met another incarnation, or nobody, before a stream begins at an unlisted one: it
// can't be taken up, and nodes then refuse unknown streams of the service.
const unlistedAfter = 2

// requiredIdentity returns how certain it must be that the upstream is the incarnation of its entry. A stream that
// goes on must meet the version that began it. Where one begins that may have to go on is always asked: behind a cut from the
// store an upstream may have come back as another version while this node had no connection to it. It must be certain while
// versions differ, if this node saw the upstream fail, or if the upstream may have restarted while this node was down or couldn't
// read the entries.
func (c *call) requiredIdentity(u *directory.Upstream, goesOn bool) Identity {
	now := c.g.Clock.Now()
	switch {
	case c.service.Engine == nil || c.route.Kind != catalog.Streaming: // plain services have no report
		return IdentityAssumed
	case goesOn:
		return IdentityRequired
	case !c.streamResumable():
		return IdentityAssumed
	case c.g.Directory.InDoubt(now) && c.unsent < unlistedAfter:
		return IdentityRequired
	case u.IsDenied() || c.g.Directory.InDoubt(now) || c.g.Origins.HasSeveralVersions(c.service.Name) || u.StaleUntil != 0 || u.FailureScore(now) > doubtfulFailures:
		return IdentityReported
	case c.unsent < unlistedAfter:
		return IdentityUndenied
	}
	return IdentityReported
}

// recordStreamBegin records where a stream began, or that it goes on at an upstream. It is called for the first
// event that an upstream sends.
func (c *call) recordStreamBegin(u *directory.Upstream, resp *Response) {
	origin := c.origin.Load()
	switch {
	case origin == nil:
		origin = &streamorigin.Origin{Service: u.Service, Version: u.Version, Weights: resp.Weights}
		if resp.OtherIncarnation {
			unlisted := streamorigin.Unlisted(u.Service, resp.StartedAt)
			origin = &unlisted
			c.g.Events.Record(event.VersionUncertain, "request", c.r.ID, "upstream", u.ID, "version", u.Version, "born", u.StartedAt, "told", resp.StartedAt)
		}
		c.origin.Store(origin)
	case origin.Fits(u.Service, u.Version):
		c.g.Metrics.recordContinued(sameVersion)
	default:
		c.g.Metrics.recordContinued(otherVersion)
	}
	if c.streamResumable() {
		c.g.Origins.Record(c.streamID(), *origin, c.timeLeft()+takeUpMargin)
	}
}

// listedUpstreams returns all upstreams of the request's service.
func (c *call) listedUpstreams() []*directory.Upstream {
	return c.g.Directory.Current().Upstreams(c.service.Name)
}

// serviceUpstreams returns the upstreams of the request's service in its regions.
func (c *call) serviceUpstreams() []*directory.Upstream {
	return c.inAllowedRegions(c.listedUpstreams())
}

// mayBeginAt reports whether the request may begin at an upstream: a stream begins only where a later one can learn that
// streams began there.
func (c *call) mayBeginAt(u *directory.Upstream) bool {
	return !c.streamResumable() || c.origin.Load() != nil || c.g.Origins.MayBegin(u.Service, u.Version)
}

// awaitDeclaration waits once until the stream may begin at the version of an upstream that can be picked then, and
// reports whether that is so.
func (c *call) awaitDeclaration(ctx context.Context) bool {
	if !c.onlyDeclared || c.declarationAwaited || c.origin.Load() != nil {
		return false
	}
	c.declarationAwaited = true
	var versions []string
	for _, u := range c.serviceUpstreams() {
		if !slices.Contains(versions, u.Version) && !c.mayBeginAt(u) {
			versions = append(versions, u.Version)
		}
	}
	if len(versions) == 0 { // declared since the choice
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, min(declarationWait, c.timeLeft()/timeLeftDivisor))
	defer cancel()
	return c.g.Origins.AwaitBegin(ctx, c.service.Name, versions)
}

// declarationWait bounds the wait for a declaration: a reading of the store and a write, each over a new connection
// to another region.
const declarationWait = 500 * time.Millisecond

// upstreams returns the upstreams that may take the request: those of the service or, for a stream that has
// begun, those of the version that began it.
func (c *call) upstreams() []*directory.Upstream {
	origin := c.origin.Load()
	switch {
	case origin == nil && !c.onlyDeclared:
		return c.withoutDenied(c.serviceUpstreams())
	case origin == nil:
		return c.withoutDenied(slices.DeleteFunc(slices.Clone(c.serviceUpstreams()), func(u *directory.Upstream) bool { return !c.mayBeginAt(u) }))
	}
	return slices.DeleteFunc(slices.Clone(c.serviceUpstreams()), func(u *directory.Upstream) bool {
		return !origin.Fits(u.Service, u.Version)
	})
}

// withoutDenied leaves out the upstreams at which a stream would begin at a version that isn't known, unless no others are
// there.
func (c *call) withoutDenied(upstreams []*directory.Upstream) []*directory.Upstream {
	if !c.streamResumable() || !slices.ContainsFunc(upstreams, (*directory.Upstream).IsDenied) {
		return upstreams
	}
	sure := slices.DeleteFunc(slices.Clone(upstreams), (*directory.Upstream).IsDenied)
	if len(sure) == 0 {
		return upstreams
	}
	return sure
}
