package quarantine

import (
	"sync/atomic"
	"time"
)

// turnCounts counts the turns that other nodes were asked about, by how they ended, and their time in all.
type turnCounts struct{ taken, refused, denied, waitedMs atomic.Int64 }

func (c *turnCounts) record(denial Denial, waited time.Duration) {
	switch denial {
	case NotDenied:
		c.taken.Add(1)
	case DeniedByCrashes:
		c.refused.Add(1)
	case DeniedByOthers:
		c.denied.Add(1)
	}
	c.waitedMs.Add(waited.Milliseconds())
}
