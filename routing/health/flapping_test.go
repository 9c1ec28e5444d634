package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// halfDead is ten minutes of an upstream that fails half of what it gets, asked ten times
// a second; it counts what callers and the time line see.
func halfDead(seed uint64) (openings, closings, failed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	b := NewBreaker(random.Uint64, func(s State) {
		switch s {
		case Open:
			openings++
		case Closed:
			closings++
		}
	})
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		probe := b.MayProbe(now) && b.BeginProbe()
		if !probe && !b.IsClosed() {
			continue
		}
		if random.IntN(2) == 0 {
			b.RecordSuccess(now, probe)
			continue
		}
		failed++
		b.RecordFailure(now, probe, false)
	}
	return openings, closings, failed
}

// An engine fails half of what it gets for ten minutes. Let in and out every few seconds
// it would hurt a caller each time; of 6,000 requests some 3,000 would fail there.
func TestHalfFailingUpstreamRarelyFlaps(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		openings, closings, failed := halfDead(seed)
		is.True(openings <= 13)
		is.True(closings <= 7)
		is.True(failed <= 70)
	}
}
