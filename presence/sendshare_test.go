package presence

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// Guards against nodes whose shares of an upstream's limit add up to more than the limit.
func TestSendSharesAddUpToOne(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{1, 6, 83, 295} {
		var live []Record
		for i := range nodes {
			r := Record{Node: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 3), Region: fmt.Sprint(i % 3 / 2), Capacity: 50, Ready: true}
			if i%7 == 0 {
				r.Capacity = 200
			}
			live = append(live, r)
		}
		sum, largest := 0.0, 0.0
		for _, own := range live {
			share := SendShare(live, own, Place{"1", "0"})
			sum, largest = sum+share, max(largest, share)
		}
		is.True(math.Abs(sum-1) < 1e-9)
		is.True(nodes == 1 || SendShare(live[:nodes-1], live[nodes-1], Place{"1", "0"}) < 0.1) // the others may count without it
		is.True(nodes == 1 || largest < 0.5)
	}
}

// Guards against leaving an upstream that names a limit idle: the nodes beside it send most of its requests, and
// those without callers hardly any.
func TestSendSharesFollowRequests(t *testing.T) {
	is := is.New(t)
	near, region, far := Record{Node: "near", DataCentre: "a", Region: "r", Capacity: 200, Ready: true}, Record{Node: "region", DataCentre: "b", Region: "r", Capacity: 200, Ready: true}, Record{Node: "far", DataCentre: "c", Region: "s", Capacity: 200, Ready: true}
	unlisted := Record{Node: "unlisted", DataCentre: "a", Region: "r", Capacity: 50, Ready: true}
	live := []Record{near, region, far, unlisted}
	share := func(r Record) float64 { return SendShare(live, r, Place{"a", "r"}) }
	is.True(share(near) > share(region))
	is.True(share(region) > share(far))
	is.True(share(far) > 5*share(unlisted))
	is.True(share(unlisted) > 0)
}

// Guards against nodes that each take the whole limit of an upstream while all of them leave one after another: they
// go on to send what arrives on open connections.
func TestLeavingNodesKeepTheirShares(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	r := NewRoster(clock)
	for i := range 4 {
		r.Update(Record{Node: fmt.Sprint(i), DataCentre: "a", Region: "r", Capacity: 100, Leaving: true})
	}
	is.Equal(len(r.Live()), 0)
	is.Equal(len(r.Holding()), 4)
	is.Equal(SendShare(r.Holding(), r.Holding()[0], Place{"a", "r"}), 0.25)
}

// Guards against a count of listed nodes that doesn't follow the nodes.
func TestListedCountFollowsNodes(t *testing.T) {
	is := is.New(t)
	r := NewRoster(&bootclock.Fake{})
	is.Equal(r.ListedCount(), 0)
	r.Update(Record{Node: "a", Region: "r", Capacity: 100})
	is.Equal(r.ListedCount(), 1)
	r.Update(Record{Node: "b", Region: "r", Capacity: 100})
	is.Equal(r.ListedCount(), 2)
	r.Remove("a")
	is.Equal(r.ListedCount(), 1)
}
