package fleet

import (
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Cost is what one node takes by itself, in the mean of a fleet of Nodes and for the
// node that sends most.
type Cost struct {
	Nodes int
	// Bytes a second on the node's socket, sent and received, with IP and UDP headers.
	PeerBytes    float64
	MaxPeerBytes float64
	// LogBytes a second read from and appended to the log.
	LogBytes float64
	// CrossBytes a second that the whole fleet sends between the regions.
	CrossBytes float64
	// CPU is the share of one core.
	CPU float64
	// Memory is heap and stacks in bytes.
	Memory float64
}

// MeasureCost runs a fleet of count nodes and measures it for a time, after it came
// to rest. The process must run nothing else.
func MeasureCost(count int, rest, length time.Duration) (Cost, error) {
	before := memory()
	c, err := Start(count)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}
	defer c.Stop()
	time.Sleep(rest)
	cost := Cost{Nodes: count, Memory: (memory() - before) / float64(count)}
	first, peers := c.total()
	cpu, started := cpuTime(), time.Now()
	time.Sleep(length)
	seconds := time.Since(started).Seconds()
	cost.CPU = (cpuTime() - cpu).Seconds() / seconds / float64(count)
	last, after := c.total()
	cost.PeerBytes = (last.peer - first.peer) / seconds / float64(count)
	cost.LogBytes = (last.log - first.log) / seconds / float64(count)
	cost.CrossBytes = (last.crossed - first.crossed) / seconds
	for i := range after {
		cost.MaxPeerBytes = max(cost.MaxPeerBytes, (after[i]-peers[i])/seconds)
	}
	return cost, nil
}

// totals is the fleet's traffic so far, in bytes.
type totals struct{ peer, log, crossed float64 }

// total also returns each node's socket bytes.
func (c *Cluster) total() (totals, []float64) {
	var all totals
	var nodes []float64
	for i, socket := range c.sockets {
		bytes := float64(socket.sent.Load() + socket.received.Load())
		nodes = append(nodes, bytes)
		all.peer += bytes
		all.crossed += float64(socket.crossed.Load())
		all.log += float64(c.logs[i].bytes.Load())
		if c.Nodes[i].Settings().Region != logRegion {
			all.crossed += float64(c.logs[i].bytes.Load())
		}
	}
	return all, nodes
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
