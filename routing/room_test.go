package routing

import (
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/throttle"
)

// Guards against a burst at an upstream that hasn't yet said that it is brittle, while others of its
// service have, and against holding back from one that answers without saying so.
func TestUnheardUpstreamsOfABrittleServiceAreTakenForBrittle(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 3)
	answer := func(name string) {
		for {
			pick, err := b.Pick(testRequest(), list)
			is.NoErr(err)
			if pick.Upstream.GetName() == name {
				pick.Done(nil)
				return
			}
			pick.Done(result.New(result.NoUpstream, "not sent").WithUnsent())
		}
	}
	answer("north-2")
	clock.Advance(2 * throttle.HeardWindow)
	answer("north-1")
	isBrittle := func(name string) bool {
		_, found := b.find(chat, name)
		return found.throttle.Brittle()
	}
	is.True(b.ObserveBrittle(list[0], 3, 2, false))
	is.True(isBrittle("north-0"))
	is.True(!isBrittle("north-1")) // it answered just before, without saying so
	is.True(isBrittle("north-2"))
}

// Guards against a burst at an upstream whose entry changed after it had named a limit.
func TestLimitOutlivesChangedEntry(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 2)
	_, err := b.Pick(testRequest(), list)
	is.NoErr(err)
	is.True(b.ObserveLimit(list[0], 1, 1))
	changed := engines("north", 2)
	changed[0].Address = "10.0.0.9:80"
	_, err = b.Pick(testRequest(), changed)
	is.NoErr(err)
	_, found := b.find(chat, list[0].GetName())
	_, _, limited := found.throttle.Limit(0)
	is.True(limited)
}
