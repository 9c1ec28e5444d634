package edgenode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/digest"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

const (
	// DigestFrom is from how many live nodes on most of them follow the digest of upstreams
	// and not the entries: 98 nodes before 1,002 upstreams read the entries at 41 kB a
	// second each, 300 nodes before 3,004 want more than the store hands out.
	DigestFrom = 150
	// directFor is how long a node reads the entries when it finds that nobody keeps the
	// digest: until another node has taken it up.
	directFor = 2 * digest.StaleAfter
	// keepers is how many nodes keep the digest: the loss of one must not be noticed.
	keepers = 2
)

// upstreamSource follows the upstreams: their entries, or in a large fleet the digest.
type upstreamSource struct {
	node   *Node
	reader *digest.Reader
	pace   keyedlog.Options
	direct bool
	source *keyedlog.Follower
	// directUntil, by the boot clock, is set when nobody keeps the digest.
	directUntil time.Duration
}

func newUpstreamSource(n *Node, pace keyedlog.Options) *upstreamSource {
	s := &upstreamSource{node: n, pace: pace, reader: &digest.Reader{Table: n.directory, Clock: n.deps.Clock, Events: n.deps.Events}}
	s.choose(true)
	return s
}

// run follows until ctx ends.
func (s *upstreamSource) run(ctx context.Context) {
	for ctx.Err() == nil {
		if direct := s.node.deps.Clock.Now() < s.directUntil || !s.node.followsDigest(); direct != s.direct {
			s.choose(direct)
		}
		pause := s.pace.Pause + s.pace.Extra()
		if err := s.source.Step(ctx); err != nil {
			s.lost(err)
			pause = s.pace.Retry/2 + rand.N(s.pace.Retry)
		} else if !s.direct && !s.reader.Fresh() {
			s.directUntil = s.node.deps.Clock.Now() + directFor
			continue
		}
		periodic.Pause(ctx, pause)
	}
}

func (s *upstreamSource) lost(err error) {
	if s.direct {
		(&upstreamHandler{s.node}).Lost(err)
		return
	}
	s.reader.Lost(err)
}

// choose begins to follow from the newest records.
func (s *upstreamSource) choose(direct bool) {
	s.direct = direct
	if direct {
		s.source = keyedlog.NewFollower(s.node.deps.Topics.Upstreams, &upstreamHandler{s.node}, s.pace)
		return
	}
	s.source = keyedlog.NewFollower(s.node.deps.Topics.Digest, s.reader, s.pace)
}

// large tells whether the fleet has so many nodes that they follow the digest.
func (n *Node) large() bool { return len(n.roster.Live()) >= n.settings.DigestFrom }

// keeps tells whether this node is to keep the digest.
func (n *Node) keeps() bool {
	if !n.large() {
		return false
	}
	return slices.ContainsFunc(presence.Seniors(n.roster.Active(), keepers), func(r presence.Record) bool {
		return r.Node == n.settings.Node && r.Incarnation == n.settings.Incarnation
	})
}

// followsDigest tells whether this node is to follow the digest.
func (n *Node) followsDigest() bool { return n.large() && !n.keeps() }

// newKeeper returns what keeps the digest while that falls to this node.
func (n *Node) newKeeper() *digest.Keeper {
	return &digest.Keeper{Topic: n.deps.Topics.Digest, Producer: "digest/" + n.settings.Incarnation, Mine: n.keeps,
		Ready: func() []directory.Entry { return n.directory.Current().Ready() }, Events: n.deps.Events}
}
