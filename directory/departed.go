package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxDepartedAge is how long an upstream whose entry is gone is remembered: longer than an
	// outage of the store, from which entries return, and than any pause of an upstream.
	maxDepartedAge = 10 * time.Minute
	// maxDeparted is how many such upstreams are remembered: all those of a large fleet, which
	// vanish together with the store.
	maxDeparted = 4096
	// trimDivisor is the part of them that is forgotten when there are more.
	trimDivisor = 4
)

// departed remembers the upstreams whose entries are gone. An incarnation whose entry returns, for
// example after an outage of the store, is the same as before and has the same open requests.
type departed struct{ byID map[string]departure }

// departure is an upstream and when its entry vanished.
type departure struct {
	upstream *Upstream
	at       time.Duration
}

func newDeparted() *departed { return &departed{byID: make(map[string]departure)} }

func (d *departed) add(u *Upstream, now time.Duration) {
	d.byID[u.ID] = departure{u, now}
	if len(d.byID) > maxDeparted {
		d.trim()
	}
}

// find returns an upstream; nil if it isn't remembered.
func (d *departed) find(id string, now time.Duration) *Upstream {
	found, ok := d.byID[id]
	if !ok || now-found.at > maxDepartedAge {
		return nil
	}
	return found.upstream
}

// take removes an upstream and returns it; nil if it isn't remembered.
func (d *departed) take(id string, now time.Duration) *Upstream {
	found := d.find(id, now)
	delete(d.byID, id)
	return found
}

// trim forgets those that departed first.
func (d *departed) trim() {
	ids := slices.SortedFunc(maps.Keys(d.byID), func(a, b string) int { return cmp.Compare(d.byID[a].at, d.byID[b].at) })
	for _, id := range ids[:len(ids)/trimDivisor] {
		delete(d.byID, id)
	}
}
