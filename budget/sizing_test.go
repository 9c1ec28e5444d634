package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func start() time.Time { return time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC) }

// step sizes one share every second for a while, at a rate of use in tokens per
// second, and returns the last action that wasn't empty.
func steps(policy Policy, state *SizingState, seen *SizingInput, from time.Time, n int, rate uint64) SizingAction {
	var last SizingAction
	for i := range n {
		seen.Used += rate
		if action := SizeShare(policy, state, *seen, from.Add(time.Duration(i)*time.Second)); action != (SizingAction{Budget: seen.Budget}) {
			last = action
		}
	}
	return last
}

func TestClaimsAheadOfDemand(t *testing.T) {
	is := is.New(t)
	state := &SizingState{}
	seen := &SizingInput{Budget: "b", Available: 100, Pool: 1 << 30, Remaining: 1 << 30, Nodes: 6}
	action := steps(Thrift, state, seen, start(), 600, 50)
	want := uint64(50*Thrift.Horizon.Seconds()) - 100
	is.True(action.Claim > want*95/100 && action.Claim <= want)
}

func TestReturnsIdleTokens(t *testing.T) {
	is := is.New(t)
	state := &SizingState{}
	seen := &SizingInput{Budget: "b", Available: 100_000, Pool: 0, Remaining: 1 << 30, Nodes: 6}
	idle := int(Thrift.Idle.Seconds())
	is.Equal(steps(Thrift, state, seen, start(), idle, 0), SizingAction{})
	is.Equal(steps(Thrift, state, seen, start().Add(Thrift.Idle), 2, 0).Return, uint64(100_000))
}

// A budget is nearly used up and a quiet node sits on the last tokens. With thrift
// it gives them back, so that a crash can't freeze them; with endurance it keeps
// them, since in an outage peers can reserve them and the pool is out of reach.
func TestScarceTokens(t *testing.T) {
	is := is.New(t)
	seen := &SizingInput{Budget: "b", Available: 500, Pool: 0, Remaining: 600, Nodes: 6}
	is.Equal(steps(Thrift, &SizingState{}, seen, start(), 2, 0).Return, uint64(500))
	is.Equal(steps(Endurance, &SizingState{}, seen, start(), 2, 0), SizingAction{})
}

func TestAsksPeersWhenPoolIsEmpty(t *testing.T) {
	is := is.New(t)
	seen := &SizingInput{Budget: "b", Available: 10, Shortfall: 300, Remaining: 1 << 30, Nodes: 6}
	is.True(steps(Endurance, &SizingState{}, seen, start(), 1, 10).Ask >= 300)
}

// Whatever a node sees, it never wants more than the pool has, never returns more
// than it holds and never does two things at once.
func TestSizingStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Endurance, Thrift}).Draw(t, "policy")
		state := &SizingState{}
		now, used := start(), uint64(0)
		amount := rapid.Uint64Range(0, 1<<40)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			used += rapid.Uint64Range(0, 1<<20).Draw(t, "use")
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "pause")) * time.Second)
			seen := SizingInput{Available: amount.Draw(t, "available"), Used: used, Shortfall: amount.Draw(t, "lacked"),
				Pool: amount.Draw(t, "pool"), Nodes: rapid.IntRange(0, 9).Draw(t, "nodes")}
			seen.Remaining = seen.Available + seen.Pool
			action := SizeShare(policy, state, seen, now)
			set := 0
			for _, tokens := range []uint64{action.Claim, action.Return, action.Ask} {
				if tokens > 0 {
					set++
				}
			}
			if action.Claim > seen.Pool || action.Return > seen.Available || set > 1 {
				t.Fatalf("%+v for %+v", action, seen)
			}
		}
	})
}
