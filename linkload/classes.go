package linkload

import (
	"math"
	"time"
)

const (
	// classCount classes divide requests by the bytes that refusing one saves: up to smallestClass bytes in the first one,
	// twice as many with every second class.
	classCount    = 40
	smallestClass = 256
)

// classOf returns the class of a request that saves a number of bytes if it is refused.
func classOf(saved float64) int {
	if !(saved > smallestClass) {
		return 0
	}
	return min(classCount-1, int(2*math.Log2(saved/smallestClass)))
}

// demand is that of the requests of a class.
type demand struct {
	requests rate
	// spent are the bytes that have crossed the link towards the node when it decides, saved those that a refusal saves.
	spent, saved rate
}

// demands holds the demand of all requests that reach the decision, by class in ascending order.
type demands [classCount]demand

func (d *demands) add(now time.Duration, class int, spent, saved float64) {
	c := &d[class]
	c.requests.add(now, 1)
	c.spent.add(now, spent)
	c.saved.add(now, saved)
}

// spent returns the bytes per second that requests take whether or not they are refused.
func (d *demands) spent(now time.Duration) float64 {
	sum := 0.0
	for i := range d {
		sum += d[i].spent.perSecond(now)
	}
	return sum
}

// total returns the bytes per second that requests take if none is refused.
func (d *demands) total(now time.Duration) float64 {
	sum := d.spent(now)
	for i := range d {
		sum += d[i].saved.perSecond(now)
	}
	return sum
}

// share returns which part of the requests of a class fits a capacity in bytes per second, after all smaller ones.
func (d *demands) share(now time.Duration, class int, capacity float64) float64 {
	spent := d.spent(now)
	if class <= d.lastServed(now, spent) {
		return 1
	}
	left := capacity - spent
	for i := range class {
		left -= d[i].saved.perSecond(now)
	}
	wanted := d[class].saved.perSecond(now)
	switch {
	case left <= 0:
		return 0
	case wanted <= left:
		return 1
	default:
		return left / wanted
	}
}

// lastServed returns the last class of which refusing a request saves no more than a response costs on average, with the bytes
// spent on refused requests. To refuse connections, which costs nothing, serves more callers than to refuse these by headers.
func (d *demands) lastServed(now time.Duration, spent float64) int {
	last, bytes, responses := 0, spent, 0.0
	for i := range d {
		requests, saved := d[i].requests.perSecond(now), d[i].saved.perSecond(now)
		if requests == 0 {
			continue
		}
		if responses > 0 && saved/requests > bytes/responses {
			break
		}
		last, bytes, responses = i, bytes+saved, responses+requests
	}
	return last
}
