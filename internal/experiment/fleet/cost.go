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
	// Datagrams a second that the node sends.
	Datagrams float64
	// Pings and Reads are calls a second that the node makes, PingBytes, ReadBytes and
	// OtherBytes what is in all calls, sent and received, before framing. What PeerBytes
	// holds beyond them is framing, acknowledgements and headers.
	Pings, Reads                     float64
	PingBytes, ReadBytes, OtherBytes float64
	// LogBytes a second read from and appended to the log.
	LogBytes float64
	// CrossRegionBytes a second that the whole fleet sends between the regions.
	CrossRegionBytes float64
	// CPU is the share of one core.
	CPU float64
	// Memory is heap and stacks in bytes.
	Memory float64
}

// MeasureCost runs a fleet of count nodes and measures it for a time, after it came
// to rest. The process must run nothing else.
func MeasureCost(count int, delay, rest, length time.Duration) (Cost, error) {
	before := memory()
	c, err := Start(count, delay)
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
	cost.CrossRegionBytes = (last.crossed - first.crossed) / seconds
	each := 1 / seconds / float64(count)
	cost.Datagrams = (last.datagrams - first.datagrams) * each
	cost.Pings, cost.Reads = (last.pings-first.pings)*each, (last.reads-first.reads)*each
	// A byte of a call is sent by one node and received by another.
	cost.PingBytes, cost.ReadBytes, cost.OtherBytes = 2*(last.pingBytes-first.pingBytes)*each,
		2*(last.readBytes-first.readBytes)*each, 2*(last.otherBytes-first.otherBytes)*each
	for i := range after {
		cost.MaxPeerBytes = max(cost.MaxPeerBytes, (after[i]-peers[i])/seconds)
	}
	return cost, nil
}

// totals is the fleet's traffic so far, in bytes.
type totals struct {
	peer, log, crossed, datagrams    float64
	pings, reads                     float64
	pingBytes, readBytes, otherBytes float64
}

// total also returns each node's socket bytes.
func (c *Cluster) total() (totals, []float64) {
	var all totals
	var nodes []float64
	for i, socket := range c.sockets {
		bytes := float64(socket.sent.Load() + socket.received.Load())
		nodes = append(nodes, bytes)
		all.peer += bytes
		all.crossed += float64(socket.crossed.Load())
		all.datagrams += float64(socket.datagrams.Load())
		all.pings += float64(c.callers[i].pings.calls.Load())
		all.reads += float64(c.callers[i].reads.calls.Load())
		all.pingBytes += float64(c.callers[i].pings.bytes.Load())
		all.readBytes += float64(c.callers[i].reads.bytes.Load())
		all.otherBytes += float64(c.callers[i].others.bytes.Load())
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
