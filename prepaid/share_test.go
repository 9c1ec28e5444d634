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
	s := NewShare(DefaultSettings(), Clocks{Boot: clock, Wall: clock.TimeOfDay()}, Holder{Node: "n1", Region: "region", Incarnation: "i1", BootID: "boot"})
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 1, Lines: []GrantLine{{Account: "a", Ceiling: ceiling, Remaining: 1_000_000, Prepaid: 1_000_000}}})
	return s, clock
}

// report makes a report that the store takes.
func report(s *Share) Report {
	r, _ := s.Compose()
	s.Acknowledge()
	return r
}

// startAt is a process's start at a reading of its clocks.
func startAt(clock *bootclock.Fake, bootID string) ProcessStart {
	return ProcessStart{ClockReading: Clocks{Boot: clock, Wall: clock.TimeOfDay()}.Read(), BootID: bootID}
}

// A node gets a grant and is killed before its next report. Had it used the grant at
// once, nobody could tell how much; so it uses nothing that it hasn't reported ahead.
func TestUsesOnlyWhatItReported(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(200_000)
	is.Equal(s.Reserve("a", 5_000, 1_000_000), ReportRequired)
	report(s)
	is.Equal(s.Reserve("a", 5_000, 1_000_000), Reserved)
}

// The store goes away for eight seconds. The node must go on at its callers' pace and at
// last out of its whole part, or they would be refused although their tokens are paid for.
func TestKeepsServingWhenPartitioned(t *testing.T) {
	is := is.New(t)
	const pace = 100 * time.Millisecond
	s, clock := grantedShare(1_200_000)
	for range 400 {
		s.Reserve("a", 2_000, 2_000_000)
		report(s)
		clock.Advance(pace)
	}
	for range 5 * time.Second / pace {
		s.Compose()
		is.Equal(s.Reserve("a", 2_000, 2_000_000), Reserved)
		clock.Advance(pace)
	}
	is.Equal(s.Reserve("a", 280_000, 2_000_000), Insufficient)
	clock.Advance(DefaultSettings().LimitTTL)
	is.Equal(s.Reserve("a", 280_000, 2_000_000), Reserved)
}

// A report takes effect in the store, but its answer is lost, and it names lower limits
// than before. If the node dies now, the store's figure counts; so the node must keep to
// the lower of both until it knows.
func TestKeepsToTheLowerLimitUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(1_000_000)
	for range 20 {
		s.Reserve("a", 20_000, 1_000_000)
	}
	report(s)
	report(s)
	high := s.Status("a").Limit
	clock.Advance(time.Minute)
	r, _ := s.Compose()
	is.True(r.Lines[0].InitialLimit < high)
	is.Equal(s.Status("a").Limit, r.Lines[0].InitialLimit)
}

// A node that was cut off comes back and is killed right after. Its first reports after
// the cut must already bind it to low limits again, or the next incarnation can't prove
// anything and the whole part is stranded.
func TestReportsAfterPartitionRestoreLimits(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	report(s)
	s.Compose()
	clock.Advance(DefaultSettings().LimitTTL)
	r, fresh := s.Compose()
	is.True(!fresh) // what the store may hold already says that the part is open
	is.True(!FinalUsages([]Report{r}, startAt(clock, "boot"))[0].Bounded)
	s.Acknowledge()
	r, fresh = s.Compose()
	is.True(fresh)
	clock.Advance(600 * time.Millisecond)
	is.True(FinalUsages([]Report{r}, startAt(clock, "boot"))[0].Bounded)
}

// A store that answers readings but refuses all writes must not hold a node to its low
// limits for ever: callers would be refused for as long as that lasts.
func TestRejectedReportsDontCapForever(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	report(s)
	const every = 500 * time.Millisecond
	for range DefaultSettings().LimitTTL/every + 1 {
		clock.Advance(every)
		s.Compose()
	}
	is.Equal(s.Status("a").Limit, int64(200_000))
}

// A killed process is back after 0.6 s on the same boot. What it can't have used by then
// goes back; after more time than its promise covers, its whole part counts as used.
func TestKilledProcessReturnsUnusedTokens(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	r := report(s)
	clock.Advance(600 * time.Millisecond)
	c := FinalUsages([]Report{r}, startAt(clock, "boot"))[0]
	is.True(c.Bounded)
	is.True(c.Lines[0].Used <= DefaultSettings().MinHeadroom)
	long := startAt(clock, "boot")
	long.Boot += DefaultSettings().LimitTTL
	is.True(!FinalUsages([]Report{r}, long)[0].Bounded)
	earlier := startAt(clock, "boot")
	earlier.Boot -= 2 * time.Second
	is.True(!FinalUsages([]Report{r}, earlier)[0].Bounded)
}

// An instance loses power for a second; its boot clock starts anew. The time of day tells
// that the earlier process can't have lived long after its last report, and what that
// can't have used goes back. Where the time of day can't be trusted, nothing goes back, or
// tokens might be given out twice.
func TestPowerLossReturnsUnusedTokens(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	for range 5 {
		s.Reserve("a", 2_000, 2_000_000)
	}
	r := report(s)
	clock.Advance(time.Second)
	start := startAt(clock, "another boot")
	start.Boot = 20 * time.Second
	c := FinalUsages([]Report{r}, start)[0]
	is.True(c.Bounded)
	is.Equal(FinalUsages([]Report{r}, ProcessStart{ClockReading: start.ClockReading, BootID: "boot"})[0], c) // the kernel runs on
	is.Equal(c.Lines[0].Used, pledge{r.Lines[0].InitialLimit, r.Lines[0].Growth}.bound(start.Wall-millis(r.StartTimeMs)+mostSetBack))
	is.True(c.Lines[0].Used < 50_000)

	behind := start
	behind.ClockBehind = true
	is.True(!FinalUsages([]Report{r}, behind)[0].Bounded)
	setBack := start
	setBack.Wall -= 2 * time.Second
	is.True(!FinalUsages([]Report{r}, setBack)[0].Bounded)
	late := start
	late.Wall += DefaultSettings().LimitTTL - mostSetBack
	is.True(!FinalUsages([]Report{r}, late)[0].Bounded)
}

// A node is cut off, opens its part, and its time of day is set back. Its limits must not
// seem untouched: as long as the time of day shows less than has passed, they follow it.
func TestLimitsFollowTheSlowerClock(t *testing.T) {
	is := is.New(t)
	w := newWorld(map[string]int64{"a": 1_000_000})
	n := w.start("n1", "boot")
	settleDown(w)
	w.setOff["n1"] = -2 * time.Second
	w.clock.Advance(DefaultSettings().LimitTTL + time.Second)
	is.True(n.share.Status("a").Limit < n.share.Status("a").Ceiling)
	w.clock.Advance(time.Second)
	is.Equal(n.share.Status("a").Limit, n.share.Status("a").Ceiling)
}

// Another node reports from a time that this instance's time of day hasn't reached: it was
// set back, and what it says about the time since the last report is worth nothing.
func TestDetectsWallClockBehind(t *testing.T) {
	is := is.New(t)
	other := &Report{SentTimeMs: 10_000}
	is.True(!ClockIsBehind(10*time.Second, other))
	is.True(ClockIsBehind(9*time.Second, other))
}

// An account has used all that it prepaid. Telling its caller to come back would only
// make it try in vain; a top-up makes the account good again at once.
func TestExhaustedIsCertain(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(0)
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 2, Lines: []GrantLine{{Account: "a", Remaining: 900, Prepaid: 1_000_000}}})
	is.Equal(s.Reserve("a", 1_000, 1_000_000), Exhausted)
	is.Equal(s.Reserve("a", 900, 1_000_000), Insufficient)
	is.Equal(s.Reserve("a", 1_000, 1_000_500), Insufficient)
}

// Two grants arrive in the wrong order. The older one must not raise the ceiling again
// that the newer one lowered, since its tokens are with another node by now.
func TestOlderGrantIsIgnored(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(100_000)
	is.True(s.Apply(Grant{Incarnation: "i1", Epoch: 5, Lines: []GrantLine{{Account: "a", Ceiling: 10_000}}}))
	is.True(!s.Apply(Grant{Incarnation: "i1", Epoch: 4, Lines: []GrantLine{{Account: "a", Ceiling: 100_000}}}))
	is.Equal(s.Status("a").Ceiling, int64(10_000))
	is.True(!s.Apply(Grant{Incarnation: "other", Epoch: 9}))
}

// A prompt is longer than the drawn limit runs ahead of use. One report must be enough
// to serve it; while reports named the usual limit only, long prompts were refused on
// every node although their account held plenty.
func TestOneReportRaisesLimitForLongPrompt(t *testing.T) {
	is := is.New(t)
	s, _ := grantedShare(200_000)
	report(s)
	is.Equal(s.Reserve("a", 60_000, 1_000_000), ReportRequired)
	report(s)
	is.Equal(s.Reserve("a", 60_000, 1_000_000), Reserved)
	is.Equal(s.Lend("a", 70_000, true), ReportRequired)
	report(s)
	is.Equal(s.Lend("a", 70_000, true), Reserved)
}

// The store is away and a long prompt is beyond the limit that has grown so far. Its caller,
// or the node that asked for a loan, must be told at once: waiting for a report that can't
// be acknowledged takes the time in which another node would serve it.
func TestDoesNotWaitForReportWhenPartitioned(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(200_000)
	report(s)
	s.Compose()
	clock.Advance(2 * time.Second)
	is.Equal(s.Reserve("a", 60_000, 1_000_000), Insufficient)
	is.Equal(s.Lend("a", 60_000, true), Insufficient)
	is.True(s.Lendable("a") < 60_000)
}

// Most nodes of a large fleet hold tokens that nobody uses. Each report that repeats the
// last one costs the store a call; a node with callers must go on reporting.
func TestUnchangedWhileUnused(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(100_000)
	report(s)
	is.True(s.Unchanged())
	s.Reserve("a", 10_000, 1_000_000)
	is.True(!s.Unchanged()) // there is a caller
	report(s)
	is.Equal(s.Reserve("a", 1_000, 1_000_000), Reserved)
	clock.Advance(time.Minute)
	report(s)
	is.True(!s.Unchanged()) // a request is open
	s.Settle("a", 1_000, 800)
	is.True(!s.Unchanged()) // its use isn't reported
	s.Compose()
	is.True(!s.Unchanged()) // the report isn't acknowledged
	s.Acknowledge()
	is.True(s.Unchanged())
}

// Guards against a node that takes a new grant for no news: without the store it could
// neither use nor lend any of it for ten seconds.
func TestRaisedCeilingIsReportedSoon(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(0)
	report(s)
	is.True(s.Unchanged())
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 2, Lines: []GrantLine{{Account: "a", Ceiling: 60_000, Remaining: 1_000_000, Prepaid: 1_000_000}}})
	is.True(!s.Unchanged())
	is.Equal(s.Lendable("a"), int64(60_000)) // after a report, which a borrower waits for
	report(s)
	is.True(s.Unchanged())
	s.Compose() // the store is away
	clock.Advance(5 * time.Second)
	is.Equal(s.Lend("a", 9_000, true), Reserved)
	s.Apply(Grant{Node: "n1", Incarnation: "i1", Epoch: 3, Lines: []GrantLine{{Account: "a", Ceiling: 40_000, Remaining: 1_000_000, Prepaid: 1_000_000}}})
	s.Settle("a", 9_000, 0)
	s.Acknowledge()
	is.True(s.Unchanged()) // a lowered one can wait for the usual report
}

// A node that could not cover a request looks for its next grant as often as it can, so that
// the caller who comes back finds it; one that has enough reads more rarely.
func TestRecordsShortfall(t *testing.T) {
	is := is.New(t)
	s, clock := grantedShare(10_000)
	is.True(!s.ShortfallWithin(time.Second))
	is.Equal(s.Reserve("a", 50_000, 1_000_000), Insufficient)
	is.True(s.ShortfallWithin(time.Second))
	clock.Advance(2 * time.Second)
	is.True(!s.ShortfallWithin(time.Second))
}
