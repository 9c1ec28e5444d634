package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/result"
)

// The only node of the far region is cut off for longer than its right lasts. What it
// answers until it notices that the log is out of reach nobody else knows, and what ran
// at the moment of the cut others know as open only. The fleet closes it while it lives.
// Its last answers must still be billed, once, when the cut has ended.
func TestLongRegionCutOfSingleNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(50_000)
		is.NoErr(f.request(2, 300, 100))
		running := f.dispatch(2)
		f.net.setCut(true)
		f.engines.hide(running.Request().String(), 120) // the engine stands behind the cut
		running.Finish(120)
		answered := 0
		for range 40 {
			if f.request(2, 20, 10) == nil {
				answered++
			}
			time.Sleep(250 * time.Millisecond)
		}
		is.True(answered > 0)
		is.Equal(result.CodeOf(f.request(2, 20, 10)), result.NoWitness)
		time.Sleep(2 * time.Hour)
		is.True(!f.nodes[0].Ledger().IsOpen(f.nodes[2].Incarnation()))
		is.True(f.nodes[0].Ledger().Known(f.nodes[2].Incarnation())) // frozen, not released
		f.net.setCut(false)
		f.awaitReleased(0, 2)
		f.engines.show()
		f.awaitBilled(0)
		is.Equal(f.checkLedger(0).Lost, uint64(0))
	})
}

// A node is cut off for good, and the platform goes on listing its instance. The fleet
// can't know what it answered, so the rest of its share must not be spent again; but it
// must not stay frozen for ever either: it is written off after the stated time.
func TestPermanentlyCutOffNodeIsWrittenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(10_000)
		is.NoErr(f.request(2, 300, 100))
		time.Sleep(10 * time.Second)
		f.net.setCut(true)
		took := f.awaitReleased(0, 2)
		is.True(took > testPolicy.LostAfter)
		is.True(took < testPolicy.LostAfter+testPolicy.SpendRight*106/100+2*time.Minute)
		line := f.checkLedger(0)
		is.True(line.Lost > 0)
		is.Equal(line.Spent, uint64(100))
	})
}

// An instance dies that no process replaces at its address. Its tokens are back after
// its right, once the platform has stopped listing it for long enough.
func TestDelistedInstanceIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, testPolicy, near, near, far)
		f.topUp(10_000)
		is.NoErr(f.request(1, 300, 100))
		grant := f.dispatch(1)
		f.engines.run(grant.Request().String(), 120)
		address := f.nodes[1].settings.PeerAddress
		listed := f.listed[address]
		f.crash(1)
		f.list(address, listed) // the list lags
		time.Sleep(2 * time.Hour)
		is.True(f.nodes[0].Ledger().Known(f.nodes[1].Incarnation()))
		f.list(address, nil)
		is.True(f.awaitReleased(0, 1) < 11*time.Minute)
		f.awaitBilled(0)
	})
}
