// Package latency counts and logs how long things take.
package latency

import (
	"strconv"
	"time"
)

// Bucket returns the name of a histogram's bucket: the latency in milliseconds, rounded up to a power of two.
func Bucket(d time.Duration) string {
	limit := int64(1)
	for limit < d.Milliseconds() {
		limit *= 2
	}
	return "le_" + strconv.FormatInt(limit, 10)
}
