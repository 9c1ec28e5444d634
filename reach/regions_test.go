package reach

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/memnet"
)

// Guards against a request that passes through a node outside its regions, over a new connection or one that was
// opened for another request, and against giving up while a node of its regions has a path.
func TestRelayIsInAllowedRegion(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *testFleet) {
		here, elsewhere := f.addNode("10.1.0.1", east), f.addNode("10.1.0.2", east2)
		u := f.addUpstream("10.64.0.1", echo)
		f.network.Cut(here.host, u.host, memnet.Refuse)
		onlyWest := AllowRegion(func(region string) bool { return region == west.Region })
		dial := func(ctx context.Context) (net.Conn, error) { return here.Dial(ctx, u.host+":80") }
		unlimited, err := dial(context.Background())
		is.NoErr(err)
		is.True(!PassesThrough(unlimited, onlyWest))
		synctest.Wait() // the upstream accepts the connection after the relay reported it
		before := u.connections(elsewhere.host)
		_, err = dial(WithAllowedRegions(context.Background(), onlyWest))
		is.True(err != nil)
		is.Equal(u.connections(elsewhere.host), before)
		f.addNode("10.2.0.1", west)
		limited, err := dial(WithAllowedRegions(context.Background(), onlyWest))
		is.NoErr(err)
		is.True(PassesThrough(limited, onlyWest))
		is.Equal(u.connections(elsewhere.host), before)
		is.NoErr(exchange(limited))
		_, _ = unlimited.Close(), limited.Close()
	})
}
