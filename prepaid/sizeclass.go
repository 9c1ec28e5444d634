package prepaid

import (
	"math/bits"
	"time"
)

const (
	// smallestClass is the largest request of size class 0, in tokens. Each class reaches to twice
	// the size of the one before it.
	smallestClass = 512
	// sizeClasses is the number of size classes; the last one has no largest request.
	sizeClasses = 9
)

// sizeClass returns the size class of a request.
func sizeClass(tokens int64) int {
	return min(sizeClasses-1, bits.Len64(uint64(max(0, tokens-1)/smallestClass)))
}

// largestOf returns the largest request of a size class.
func largestOf(class int) int64 { return smallestClass << class }

// sizeDemand estimates the demand for one account by size class, in tokens per second.
type sizeDemand [sizeClasses]demandEstimate

// add adds a request's maximum use.
func (d *sizeDemand) add(tokens int64, now, window time.Duration) {
	d[sizeClass(tokens)].add(tokens, now, window)
}

// rates brings the estimates up to date and returns them, without the largest classes if these
// have no demand.
func (d *sizeDemand) rates(now, window time.Duration) []int64 {
	var rates []int64
	for class := range d {
		e := &d[class]
		if !e.started {
			continue
		}
		e.decay(now, window)
		if rate := int64(e.rate); rate > 0 {
			rates = append(rates, make([]int64, class-len(rates))...)
			rates = append(rates, rate)
		}
	}
	return rates
}
