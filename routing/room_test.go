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
