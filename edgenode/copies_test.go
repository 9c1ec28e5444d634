package edgenode

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// routesConfig returns a configuration with a version, and as many routes as an operator may have, which
// differ in their names, hosts and paths.
func routesConfig(version, routes int) string {
	random := rand.New(rand.NewPCG(1, uint64(routes)))
	word := func() string { return fmt.Sprintf("%05x%d", random.IntN(1<<20), random.IntN(1000)) }
	var b strings.Builder
	fmt.Fprintf(&b, "%d [", version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%d","hostname":"%s.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"%s","maxAttempts":2,"anonymous":false},`, i, word(), word(), word())
	}
	b.WriteString("]")
	return b.String()
}

// fleetSize is a fleet in two regions.
type fleetSize struct {
	nodes, farDataCentres, farNodes int
	// regionMbps is the bandwidth of the link between the regions, smallMbps that of a small instance.
	regionMbps, smallMbps int
}

var fleetSizes = []fleetSize{
	{nodes: 7, farDataCentres: 1, farNodes: 3, regionMbps: 30, smallMbps: 1000},
	{nodes: 86, farDataCentres: 3, farNodes: 14, regionMbps: 60, smallMbps: 10},
	{nodes: 295, farDataCentres: 3, farNodes: 49, regionMbps: 150, smallMbps: 20},
}

func mbps(n int) int { return n * 1_000_000 / 8 }

// newPeerLinks returns the links of the instances beyond the link between the regions.
func (s fleetSize) newPeerLinks() map[string]*link {
	links := make(map[string]*link)
	for d := range s.farDataCentres {
		for i := range s.farNodes {
			rate := s.smallMbps
			if i < 2 {
				rate = 200
			}
			links[farName(d, i)] = &link{bytesPerSecond: mbps(rate), delay: time.Millisecond}
		}
	}
	return links
}

// largeChange is the propagation of a configuration of many routes.
type largeChange struct {
	size   fleetSize
	routes int
	// sourcesSilent is set if the nodes that the others fetch from don't answer them, in every data centre.
	sourcesSilent bool
}

// propagate returns how long a change takes until the last node uses it, and how many copies of it crossed
// the link between the regions.
func (c largeChange) propagate(t *testing.T) (took time.Duration, copies float64) {
	f := newTestFleet(t)
	defer f.stop()
	f.peerLinks = c.size.newPeerLinks()
	l := &link{bytesPerSecond: mbps(c.size.regionMbps), delay: 60 * time.Millisecond}
	far := f.startTwoRegions(l, c.size.farDataCentres, c.size.farNodes)
	time.Sleep(10 * time.Second)
	if c.sourcesSilent {
		var silent []string
		for d := range c.size.farDataCentres {
			silent = append(silent, farName(d, 0), farName(d, 1))
		}
		f.makeUnreachable(silent...)
	}
	config := routesConfig(2, c.routes)
	before, started := l.total(), time.Now()
	f.put(f.topics.Operators, "config", config)
	for countWithVersion(far, 2) < len(far) && time.Since(started) < 4*maxPropagation {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started), float64(l.total()-before) / float64(len(config))
}

// Guards against nodes of a data centre that turn to the store at the same time because the nodes that they
// fetch from are late: their copies of a large configuration filled the link between the regions.
func TestCopiesOfLargeChangeDoNotFillLink(t *testing.T) {
	for _, size := range fleetSizes {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, sources silent %t", size.nodes, silent), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					took, copies := largeChange{size: size, routes: 2800, sourcesSilent: silent}.propagate(t)
					t.Logf("in force after %s, %.1f copies", took, copies)
					is.New(t).True(took <= maxPropagation)
				})
			})
		}
	}
}
