package edgenode

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/catalog"
)

// decodePadded reads a version that padding follows.
func decodePadded(_ string, raw []byte) (*catalog.View, bool, error) {
	digits, _, _ := strings.Cut(string(raw), " ")
	version, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return nil, true, err
	}
	return catalog.NewView(version, catalog.Limits{}, nil, nil, nil, nil), true, nil
}

// padded is a configuration of a version and a size in bytes.
func padded(version, bytes int) string {
	return strconv.Itoa(version) + " " + strings.Repeat("x", bytes)
}

// mute lets nodes answer no other node.
func (b *bubble) mute(nodes ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dark = make(map[string]bool)
	for _, n := range nodes {
		b.dark[n] = true
	}
}

// farFleet starts a fleet of two regions; the nodes of one reach the store over a link.
func (b *bubble) farFleet(l *link, dataCentres, nodes int) (far []*Node) {
	for i := range 4 {
		b.startAt(site{dataCentre: "near", region: "near", capacity: 200, topics: b.topics}, fmt.Sprintf("near-%d", i), decodePadded)
	}
	for d := range dataCentres {
		for i := range nodes {
			far = append(far, b.startAt(farSite(d, i, beyond(b.topics, l)), farName(d, i), decodePadded))
		}
	}
	return far
}

func farName(dataCentre, i int) string { return fmt.Sprintf("far-%d-%d", dataCentre, i) }

// farSite is where a node of the far region stands; two of a data centre are large.
func farSite(dataCentre, i int, topics Topics) site {
	s := site{dataCentre: fmt.Sprintf("far-%d", dataCentre), region: "far", capacity: 50, topics: topics}
	if i < 2 {
		s.capacity = 200
	}
	return s
}

// inForceAt counts the nodes that have a version in force and know no upstream of a service.
func inForceAt(nodes []*Node, version int64, service string) int {
	n := 0
	for _, node := range nodes {
		view := node.catalog.Current()
		if view != nil && view.Version == version && len(node.directory.Current().Upstreams(service)) == 0 {
			n++
		}
	}
	return n
}

// configBytes is a configuration of some 2,800 routes.
const configBytes = 600 << 10

// newsAim is within what time a change must be in force and a leaving upstream known.
const newsAim = 4 * time.Second

// tellAndWait writes two large configurations and the leaving of an upstream, and returns how
// many nodes beyond a link know all of it in time.
func tellAndWait(b *bubble, far []*Node) int {
	b.put(b.topics.Operators, "config", padded(2, configBytes))
	time.Sleep(1400 * time.Millisecond)
	b.put(b.topics.Operators, "config", padded(3, configBytes))
	b.put(b.topics.Upstreams, "e1", leaves)
	time.Sleep(newsAim)
	return inForceAt(far, 3, "llm")
}

// regionLink is a narrow link between two regions.
func regionLink() *link { return &link{perSecond: 60e6 / 8, delay: 60 * time.Millisecond} }

// Every node of a region reads a large configuration over the same narrow link: it comes late,
// and so does the news that an upstream leaves.
func TestLargeConfigurationsPropagateOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBubble(t)
		defer b.stop()
		b.put(b.topics.Upstreams, "e1", "llm")
		far := b.farFleet(regionLink(), 3, 14)
		time.Sleep(10 * time.Second)
		is.Equal(len(far[0].directory.Current().Upstreams("llm")), 1)
		is.Equal(tellAndWait(b, far), len(far))
	})
}

// The nodes that others fetch from look alive in the store and answer no node.
func TestUnresponsivePeersDoNotDelayNodes(t *testing.T) {
	for _, silent := range [][]string{{"far-0-0"}, {"far-0-0", "far-0-1"}} {
		t.Run(fmt.Sprint(len(silent)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBubble(t)
				defer b.stop()
				b.put(b.topics.Upstreams, "e1", "llm")
				far := b.farFleet(regionLink(), 3, 8)
				time.Sleep(10 * time.Second)
				b.mute(silent...)
				is.Equal(tellAndWait(b, far), len(far))
			})
		})
	}
}

// All nodes lose power and come back at once: each reads the whole configuration, and the ones
// beyond the link know none for seconds.
func TestConfigurationPropagatesAfterPowerLoss(t *testing.T) {
	const dataCentres, nodes = 3, 14
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBubble(t)
		defer b.stop()
		b.put(b.topics.Operators, "config", padded(2, 3*configBytes/2))
		for d := range dataCentres {
			for i := range nodes {
				b.lostIncarnation(farName(d, i), farSite(d, i, b.topics))
			}
		}
		far := b.farFleet(regionLink(), dataCentres, nodes)
		time.Sleep(newsAim)
		is.Equal(inForceAt(far, 2, "llm"), len(far))
	})
}
