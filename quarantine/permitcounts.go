package quarantine

import (
	"sync/atomic"
	"time"
)

// permitCounts counts the permits that other nodes were asked about, by how they ended, and their time in all.
type permitCounts struct{ taken, refused, denied, waitedMs atomic.Int64 }

func (c *permitCounts) record(denial Denial, waited time.Duration) {
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
