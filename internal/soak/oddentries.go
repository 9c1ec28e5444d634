package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// oddEntryCopies is how many copies of each odd entry a step writes.
const oddEntryCopies = 2

// oddEntries returns, for half of the seeds, steps in which another writer leaves odd entries among the
// upstreams'. They have numbers of their own, so that other steps don't depend on them.
func oddEntries(r *rand.Rand, length time.Duration) []Step {
	if r.IntN(2) == 0 {
		return nil
	}
	var steps []Step
	for range 1 + r.IntN(3) {
		steps = append(steps, Step{Kind: OddEntries, At: time.Duration(r.Int64N(int64(length)))})
	}
	return steps
}

// putOddEntries writes a step's entries. Nodes must go on following those of the upstreams.
func (f *fleet) putOddEntries(s Step) {
	for n := range oddEntryCopies {
		f.store.PutOddEntries(fmt.Sprintf("odd-%s-%d", s.At, n))
	}
}
