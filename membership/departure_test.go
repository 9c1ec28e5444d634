package membership

import (
	"context"
	"testing"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/standin"
)

const (
	live    = platformv1.InstanceState_INSTANCE_STATE_LIVE
	leaving = platformv1.InstanceState_INSTANCE_STATE_LEAVING
	// gone isn't a state of the list: the instance isn't listed.
	gone platformv1.InstanceState = -1
)

// listed returns the list that shows one upstream in a state.
func listed(state platformv1.InstanceState) []*platformv1.Instance {
	other := &platformv1.Instance{Address: "127.0.0.1:2", Role: roleUpstream, State: live}
	if state == gone {
		return []*platformv1.Instance{other}
	}
	return []*platformv1.Instance{other, {Address: leavingAddress, Role: roleUpstream, State: state}}
}

// Guards against an upstream that said that it is leaving getting new work again because the
// list lags, and against its replacement at the same address getting none.
func TestListDoesNotOverruleUpstreamThatSaidItIsLeaving(t *testing.T) {
	for name, test := range map[string]struct {
		before, after []platformv1.InstanceState
		leaving       bool
	}{
		"list lags":                       {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{live, live, live}, leaving: true},
		"listed as leaving":               {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{live, leaving, leaving}, leaving: true},
		"gone":                            {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{leaving, gone, gone}, leaving: true},
		"replaced":                        {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{live, leaving, gone, live}},
		"replaced, never shown leaving":   {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{gone, live}},
		"taken back":                      {before: []platformv1.InstanceState{live}, after: []platformv1.InstanceState{leaving, live}},
		"listed as leaving before":        {before: []platformv1.InstanceState{live, leaving}, after: []platformv1.InstanceState{live}},
		"gone before":                     {before: []platformv1.InstanceState{live, gone}, after: []platformv1.InstanceState{live}},
		"leaves before it is first shown": {before: []platformv1.InstanceState{gone}, after: []platformv1.InstanceState{gone, live, live}, leaving: true},
		"never shown":                     {before: []platformv1.InstanceState{gone}, after: []platformv1.InstanceState{gone, gone}, leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list, clock := standin.NewInstances(), clockwork.NewRealClock()
			i := NewInstances(list, clock, event.NewRecorder(event.NewHLC(clock), "test", 100, golog.NewNopLogger()))
			show := func(states []platformv1.InstanceState) {
				for _, state := range states {
					list.Set(listed(state))
					i.Refresh(context.Background())
				}
			}
			show(test.before)
			version := i.LeavingVersion()
			i.MarkLeaving(leavingAddress)
			is.True(i.IsLeaving(leavingAddress))
			is.True(i.SaidLeaving(leavingAddress))
			is.True(i.LeavingVersion() > version)
			version = i.LeavingVersion()
			i.MarkLeaving(leavingAddress) // as with its next answer
			is.Equal(i.LeavingVersion(), version)
			show(test.after)
			is.Equal(i.SaidLeaving(leavingAddress), test.leaving)
			is.Equal(i.IsLeaving(leavingAddress), test.leaving)
			is.True(!i.IsLeaving("127.0.0.1:2"))
			list.SetDown(true)
			i.Refresh(context.Background())
			is.Equal(i.IsLeaving(leavingAddress), test.leaving)
		})
	}
}

// Guards against an upstream that was replaced at its address faster than the list is read and that
// never gets work again.
func TestUnconfirmedDepartureEnds(t *testing.T) {
	is := is.New(t)
	list, clock := standin.NewInstances(), clockwork.NewFakeClock()
	i := NewInstances(list, clock, event.NewRecorder(event.NewHLC(clock), "test", 100, golog.NewNopLogger()))
	list.Set(listed(live))
	i.Refresh(context.Background())
	i.MarkLeaving(leavingAddress)
	version := i.LeavingVersion()
	clock.Advance(maxDepartureTime - 1)
	i.Refresh(context.Background())
	is.True(i.IsLeaving(leavingAddress))
	clock.Advance(1)
	i.Refresh(context.Background())
	is.True(!i.IsLeaving(leavingAddress))
	is.True(i.LeavingVersion() > version)
}
