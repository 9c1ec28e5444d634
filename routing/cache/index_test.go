package cache

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

// The match lengths must agree with a plain set, whatever was added and removed.
func TestMatchLengthsAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(time.Hour)
		model := map[[2]int]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			hash, engine := rapid.IntRange(1, 8).Draw(t, "hash"), rapid.IntRange(60, 70).Draw(t, "engine")
			if rapid.Bool().Draw(t, "add") {
				index.Add(uint64(hash), engine, now)
				model[[2]int{hash, engine}] = true
			} else {
				index.Remove(uint64(hash), engine)
				delete(model, [2]int{hash, engine})
			}
		}
		var lengths MatchLengths
		index.Match([]uint64{1, 2, 3, 4, 5, 6, 7, 8}, now, &lengths)
		for engine := range MaxEngines {
			want := 0
			for want < 8 && model[[2]int{want + 1, engine}] {
				want++
			}
			if int(lengths[engine]) != want {
				t.Fatalf("engine %d: %d blocks cached, want %d", engine, lengths[engine], want)
			}
		}
	})
}

// An engine evicts a block under memory pressure and the event is lost in a gap. Without expiry,
// requests would still go to that engine, which has to prefill the whole prompt: users would
// see slower first tokens.
func TestUnusedBlockExpires(t *testing.T) {
	is := is.New(t)
	index := NewIndex(time.Minute)
	index.Add(1, 3, now)
	var lengths MatchLengths
	index.Match([]uint64{1}, now.Add(2*time.Minute), &lengths)
	is.Equal(int(lengths[3]), 0)
}
