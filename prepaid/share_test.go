package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
)

func grantedShare(ceiling int64) (*Share, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	s := NewShare(DefaultSettings(), clock, "n1", "region", "i1", "boot", nil)
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 1, Lines: []GrantLine{{Account: "a", Ceiling: ceiling, Left: 1_000_000, Prepaid: 1_000_000}}})
	return s, clock
}

// A node gets a grant and is killed before its next report. Had it used the grant at
// once, nobody could tell how much; so it uses nothing that it hasn't reported ahead.
func TestUsesOnlyWhatItReported(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(200_000)
	is.Equal(s.Reserve("a", 5_000, 1_000_000), ReportFirst)
	s.Acknowledge(s.Compose(false))
	is.Equal(s.Reserve("a", 5_000, 1_000_000), Reserved)
}

// The store goes away for eight seconds. After a short while the node serves out of its
// reserve, or its callers would be refused although their tokens are paid for.
func TestOpensItsReserveWhenCutOff(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	s.Acknowledge(s.Compose(false))
	is.Equal(s.Reserve("a", 100_000, 1_000_000), ReportFirst)
	clock.Advance(DefaultSettings().ReserveAfter)
	is.Equal(s.Reserve("a", 100_000, 1_000_000), Reserved)
}

// A report takes effect in the store, but its answer is lost, and it names a lower drawn
// limit than before. If the node dies now, the store's figure counts; so the node must
// keep to the lower of both until it knows.
func TestKeepsToTheLowerLimitUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(1_000_000)
	for range 20 {
		s.Reserve("a", 20_000, 1_000_000)
	}
	s.Acknowledge(s.Compose(false))
	high := s.Standing("a").Limit
	clock.Advance(time.Second)
	s.Acknowledge(s.Compose(false))
	clock.Advance(time.Minute)
	low := s.Compose(true).Lines[0].Drawn
	is.True(low < high)
	is.Equal(s.Standing("a").Limit, low)
}

// A node that was cut off comes back and is killed right after. Its first report after
// the cut must already close the reserve again, or the next incarnation can't prove
// anything and the whole reserve is stranded.
func TestFirstReportAfterACutClosesTheReserve(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	s.Acknowledge(s.Compose(false))
	clock.Advance(9 * time.Second)
	r := s.Compose(true)
	closing := Predecessors([]Report{r}, clock.Now()+600*time.Millisecond, "boot")
	is.Equal(len(closing), 1)
	is.True(closing[0].Known)
}

// A store that answers readings but refuses all writes must not keep the reserve closed
// for ever: callers would be refused for as long as that lasts.
func TestRefusedReportsDontKeepTheReserveClosed(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	s.Acknowledge(s.Compose(false))
	opened := false
	for range 10 {
		clock.Advance(500 * time.Millisecond)
		s.Compose(true)
		opened = opened || s.Standing("a").ReserveIn <= 0
	}
	is.True(opened)
}

// A killed process is back after 0.6 s on the same boot: its reserve can't have been
// opened, and what it hadn't drawn goes back. After another boot the clock tells nothing.
func TestReserveOfAKilledProcessGoesBack(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	r := s.Compose(false)
	started := clock.Now() + 600*time.Millisecond
	is.True(Predecessors([]Report{r}, started, "boot")[0].Known)
	is.True(!Predecessors([]Report{r}, started, "other boot")[0].Known)
	is.True(!Predecessors([]Report{r}, clock.Now()+DefaultSettings().ReserveAfter, "boot")[0].Known)
	is.True(!Predecessors([]Report{r}, clock.Now()-time.Minute, "boot")[0].Known)
}

// An account has used all that it prepaid. Telling its caller to come back would only
// make it try in vain; a top-up makes the account good again at once.
func TestExhaustedIsCertain(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(0)
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 2, Lines: []GrantLine{{Account: "a", Left: 900, Prepaid: 1_000_000}}})
	is.Equal(s.Reserve("a", 1_000, 1_000_000), Exhausted)
	is.Equal(s.Reserve("a", 900, 1_000_000), ShortHere)
	is.Equal(s.Reserve("a", 1_000, 1_000_500), ShortHere)
}

// Two grants arrive in the wrong order. The older one must not raise the ceiling again
// that the newer one lowered, since its tokens are with another node by now.
func TestOlderGrantIsIgnored(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(100_000)
	is.True(s.Apply(Grant{Incarnation: "i1", Epoch: 5, Lines: []GrantLine{{Account: "a", Ceiling: 10_000}}}))
	is.True(!s.Apply(Grant{Incarnation: "i1", Epoch: 4, Lines: []GrantLine{{Account: "a", Ceiling: 100_000}}}))
	is.Equal(s.Standing("a").Ceiling, int64(10_000))
	is.True(!s.Apply(Grant{Incarnation: "other", Epoch: 9}))
}

// A prompt is longer than the drawn limit runs ahead of use. One report must be enough
// to serve it; while reports named the usual limit only, long prompts were refused on
// every node although their account held plenty.
func TestOneReportMakesRoomForALongPrompt(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(200_000)
	s.Acknowledge(s.Compose(false))
	is.Equal(s.Reserve("a", 60_000, 1_000_000), ReportFirst)
	s.Acknowledge(s.Compose(false))
	is.Equal(s.Reserve("a", 60_000, 1_000_000), Reserved)
	is.Equal(s.Lend("a", 70_000, true), ReportFirst)
	s.Acknowledge(s.Compose(false))
	is.Equal(s.Lend("a", 70_000, true), Reserved)
}
