package reach

import (
	"sync/atomic"
	"time"
)

const (
	// connectWeight is the weight of the last attempt in the usual time.
	connectWeight = 0.125
	// relayDelayFactor times the usual time of a direct attempt is how long one may take before other
	// nodes are asked. On a full link all attempts take long, and more of them would make it fuller.
	relayDelayFactor = 4
)

// connectTimes tracks how long direct attempts that succeed usually take.
type connectTimes struct{ usual atomic.Int64 }

func (t *connectTimes) record(took time.Duration) {
	before := t.usual.Load()
	t.usual.Store(before + int64(connectWeight*float64(int64(took)-before)))
}

// relayDelay returns how long a direct attempt may take before other nodes are asked.
func (t *connectTimes) relayDelay(s *Settings) time.Duration {
	return min(s.DirectTimeout, max(s.RelayDelay, relayDelayFactor*time.Duration(t.usual.Load())))
}
