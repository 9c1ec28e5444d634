package edgenode

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// manyUpstreams are ten times as many as a large site has today.
	manyUpstreams = 3000
	// entryBytes is what an upstream's entry takes on its way from the store.
	entryBytes = 400
	// dataCentreNodes is how many nodes each of three data centres beyond the link has.
	dataCentreNodes = 50
)

// Guards against a start of a large fleet that fills the link between regions with copies of
// the upstreams' entries: changes of the configuration waited behind them for seconds.
func TestLargeFleetStartDoesNotSaturateLink(t *testing.T) {
	for name, small := range map[string]int{"small nodes start one by one": smallCapacity / 2, "all at once": smallCapacity} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { startLargeFleet(t, small) })
		})
	}
}

// startLargeFleet starts a fleet whose small nodes have a capacity, and changes the
// configuration when callers come.
func startLargeFleet(t *testing.T, small int) {
	is := is.New(t)
	b := newBubble(t)
	defer b.stop()
	for i := range manyUpstreams {
		b.put(b.topics.Upstreams, fmt.Sprintf("%0*d", entryBytes, i), "llm")
	}
	b.put(b.topics.Operators, "config", padded(1, 10<<10))
	l := &link{perSecond: 60_000_000 / 8, delay: 60 * time.Millisecond}
	far := b.startFar(l, 3, dataCentreNodes, small)
	time.Sleep(12 * time.Second)
	b.put(b.topics.Operators, "config", padded(2, 10<<10))
	time.Sleep(newsAim)
	is.Equal(inForce(far, 2), len(far))
	is.Equal(knowing(far, manyUpstreams), len(far))
}

// startFar starts nodes beyond a link at the same time.
func (b *bubble) startFar(l *link, dataCentres, nodes, small int) (far []*Node) {
	var mu sync.Mutex
	var started sync.WaitGroup
	for d := range dataCentres {
		for i := range nodes {
			started.Go(func() {
				s := farSite(d, i, beyond(b.topics, l))
				if s.capacity < 200 {
					s.capacity = small
				}
				n := b.startAt(s, farName(d, i), decodePadded)
				mu.Lock()
				defer mu.Unlock()
				far = append(far, n)
			})
		}
	}
	started.Wait()
	return far
}

// inForce counts the nodes that have a version in force.
func inForce(nodes []*Node, version int64) int {
	n := 0
	for _, node := range nodes {
		if v := node.catalog.Current(); v != nil && v.Version == version {
			n++
		}
	}
	return n
}

// knowing counts the nodes that know so many upstreams.
func knowing(nodes []*Node, upstreams int) int {
	n := 0
	for _, node := range nodes {
		if len(node.directory.Current().Upstreams("llm")) == upstreams {
			n++
		}
	}
	return n
}
