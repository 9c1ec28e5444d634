package node

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
)

// An upstream leaves for minutes while a node serves thousands of requests. The node must not
// filter the list for each request, nor use a cached list from before a change.
func TestNonLeavingUpstreamsAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newBasicFleet(t)
		n := f.startAll(1)[0]
		engines := []*operatorv1.Upstream{
			{Name: "e1", Service: "s", Address: "127.0.0.1:1"}, {Name: "e2", Service: "s", Address: "127.0.0.1:2"}, {Name: "e3", Service: "s", Address: "127.0.0.1:3"},
		}
		others := []*operatorv1.Upstream{{Name: "o1", Service: "other", Address: "127.0.0.1:1"}}
		is.Equal(n.excludeLeaving(engines), engines)
		f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:1", Role: "upstream", State: platformv1.InstanceState_INSTANCE_STATE_LEAVING}})
		time.Sleep(3 * time.Second)
		is.Equal(n.excludeLeaving(engines), engines[1:])
		is.Equal(len(n.excludeLeaving(others)), 0)
		is.Equal(testing.AllocsPerRun(100, func() { n.excludeLeaving(engines) }), 0.0)
		is.Equal(&n.excludeLeaving(engines)[0], &n.excludeLeaving(engines)[0])
		changed := slices.Clone(engines[:2]) // as after a configuration change
		is.Equal(n.excludeLeaving(changed), changed[1:])
		is.Equal(n.excludeLeaving(engines), engines[1:])
		f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:2", Role: "upstream", State: platformv1.InstanceState_INSTANCE_STATE_LEAVING}})
		time.Sleep(3 * time.Second)
		is.Equal(n.excludeLeaving(engines), engines[2:])
		is.Equal(n.excludeLeaving(nil), nil)
	})
}
