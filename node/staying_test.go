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

// An upstream leaves for minutes while thousands of requests go by. Their node must not
// make a list for each of them, nor go on with one made before a change.
func TestNonLeavingUpstreamsAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSmallFleet(t)
		n := f.startAll(1)[0]
		engines := []*operatorv1.Upstream{
			{Name: "e1", Service: "s", Address: "127.0.0.1:1"}, {Name: "e2", Service: "s", Address: "127.0.0.1:2"}, {Name: "e3", Service: "s", Address: "127.0.0.1:3"},
		}
		others := []*operatorv1.Upstream{{Name: "o1", Service: "other", Address: "127.0.0.1:1"}}
		is.Equal(n.staying(engines), engines)
		f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:1", Role: "upstream", State: platformv1.InstanceState_INSTANCE_STATE_LEAVING}})
		time.Sleep(3 * time.Second)
		is.Equal(n.staying(engines), engines[1:])
		is.Equal(len(n.staying(others)), 0)
		is.Equal(testing.AllocsPerRun(100, func() { n.staying(engines) }), 0.0)
		is.Equal(&n.staying(engines)[0], &n.staying(engines)[0])
		changed := slices.Clone(engines[:2]) // as after a change of the configuration
		is.Equal(n.staying(changed), changed[1:])
		is.Equal(n.staying(engines), engines[1:])
		f.instances.Set([]*platformv1.Instance{{Address: "127.0.0.1:2", Role: "upstream", State: platformv1.InstanceState_INSTANCE_STATE_LEAVING}})
		time.Sleep(3 * time.Second)
		is.Equal(n.staying(engines), engines[2:])
		is.Equal(n.staying(nil), nil)
	})
}
