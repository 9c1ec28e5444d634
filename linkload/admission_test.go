package linkload

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals where the link's speed isn't known or nothing waits on it.
func TestAdmitsAllUnlessCrowded(t *testing.T) {
	is := is.New(t)
	a, now := NewAdmission(DefaultSettings()), time.Hour
	for _, l := range []Link{{Delay: time.Second, Use: 1}, {Speed: 1e6, Use: 0.8}, {Speed: 1e6, Delay: time.Second, Use: 0.1}} {
		for range 1000 {
			now += time.Millisecond
			is.True(a.Decide(now, l, Request{BodyBytes: 1 << 20}, 1).Admitted)
		}
	}
	d := a.Decide(now, Link{Speed: 1e6, Delay: time.Second, Use: 1}, Request{BodyBytes: 1 << 20}, 1)
	is.True(d.Crowded && !d.Admitted)
	now += time.Minute
	a.Crowded(now, Link{Speed: 1e6})
	is.True(!a.Crowded(now+DefaultSettings().Calm, Link{Speed: 1e6}))
}

// Guards against a long response that is taken for a short one since its request is short, and against memory that grows with the
// routes that callers make up.
func TestResponseIsExpectedByRouteAndTokens(t *testing.T) {
	is := is.New(t)
	s := make(responseSizes)
	is.Equal(s.expected("chat", 100), float64(defaultResponseBytes))
	for range 10 * responseMemory {
		s.observe("chat", 100, 4000)
		s.observe("plain", 0, 300)
	}
	is.Equal(s.expected("chat", 1000), 40_000.0)
	is.Equal(s.expected("chat", 0), 4000.0)
	is.Equal(s.expected("plain", 0), 300.0)
	for i := range 2 * maxSizedRoutes {
		s.observe(fmt.Sprint(i), 0, 1)
	}
	is.Equal(len(s), maxSizedRoutes)
}

// Guards against memory that grows with the accounts, and against an account that is forgotten while it is denied.
func TestGroupsAreBounded(t *testing.T) {
	is := is.New(t)
	s, now := DefaultSettings(), time.Hour
	f := fairness{groups: make(map[group]*groupState)}
	ask := func(name string) debt {
		groups := []group{{kind: byAccount, name: name}}
		owed := f.ask(now, &s, groups)
		f.decided(now, groups, false)
		return owed
	}
	for i := range 2 * maxGroups {
		ask(fmt.Sprint(i))
	}
	is.Equal(len(f.groups), maxGroups)
	now += s.MaxDenied
	is.Equal(ask("0"), timeDebt)
	now += forgetAfter
	is.Equal(ask("0"), timeDebt)
	is.Equal(ask("new"), noDebt)
	is.Equal(len(f.groups), 2)
}
