package throttle

import (
	"math"
	"strconv"
	"strings"
)

// maxLimit bounds the requests a second that an upstream says it takes. No service has so many.
const maxLimit = 1e6

// ParseLimit parses the requests a second that an upstream takes from all nodes together. Zero, the strictest
// limit, stands for anything that isn't a number.
func ParseLimit(text string) float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) {
		return 0
	}
	return min(maxLimit, max(0, perSecond))
}
