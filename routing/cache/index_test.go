package cache

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

// The depths must agree with sets kept plainly, whatever was added and removed.
func TestMatchLengthsAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(time.Hour)
		held := map[[2]int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			hash, holder := rapid.IntRange(1, 8).Draw(t, "hash"), rapid.IntRange(60, 70).Draw(t, "holder")
			if rapid.Bool().Draw(t, "add") {
				index.Add(uint64(hash), holder, now)
				held[[2]int{hash, holder}] = true
			} else {
				index.Remove(uint64(hash), holder)
				delete(held, [2]int{hash, holder})
			}
		}
		var depths MatchLengths
		index.Match([]uint64{1, 2, 3, 4, 5, 6, 7, 8}, now, &depths)
		for holder := range MaxEngines {
			want := 0
			for want < 8 && held[[2]int{want + 1, holder}] {
				want++
			}
			if int(depths[holder]) != want {
				t.Fatalf("holder %d: %d blocks, want %d", holder, depths[holder], want)
			}
		}
	})
}

// An engine drops a block under memory pressure and the event is lost in a gap. A
// user would notice slower first tokens, as requests go on being sent to an engine
// that must prefill the whole prompt.
func TestUnusedBlockExpires(t *testing.T) {
	is := is.New(t)
	index := NewIndex(time.Minute)
	index.Add(1, 3, now)
	var depths MatchLengths
	index.Match([]uint64{1}, now.Add(2*time.Minute), &depths)
	is.Equal(int(depths[3]), 0)
}
