package fleet

import (
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Cost is the resource usage of an idle node: the mean over a fleet of Nodes, and the
// maximum for peer traffic.
type Cost struct {
	Nodes int
	// PeerBytes is bytes per second sent and received on the node's socket, including IP
	// and UDP headers; MaxPeerBytes is that of the busiest node.
	PeerBytes    float64
	MaxPeerBytes float64
	// Datagrams is the number of datagrams per second that the node sends.
	Datagrams float64
	// Pings and Reads are calls per second that the node makes. PingBytes, ReadBytes and
	// OtherBytes are bytes per second of all calls, sent and received, before framing. The
	// rest of PeerBytes is framing, acknowledgements and headers.
	Pings, Reads                     float64
	PingBytes, ReadBytes, OtherBytes float64
	// LogBytes is bytes per second read from and appended to the log.
	LogBytes float64
	// CrossRegionBytes is bytes per second that the whole fleet sends between the regions.
	CrossRegionBytes float64
	// CPU is the usage as a share of one core.
	CPU float64
	// Memory is the heap and stack memory in bytes.
	Memory float64
}

// MeasureCost runs a fleet of count nodes and measures it for duration, after letting it
// settle. The process must run nothing else, since CPU and memory are those of the process.
func MeasureCost(count int, delay, settle, duration time.Duration) (Cost, error) {
	memoryBefore := memoryInUse()
	c, err := Start(count, delay)
	if err != nil {
		return Cost{}, errors.Trace(err)
	}
	defer c.Stop()
	time.Sleep(settle)
	cost := Cost{Nodes: count, Memory: (memoryInUse() - memoryBefore) / float64(count)}
	startTraffic, startNodeBytes := c.totalTraffic()
	startCPU, startTime := cpuTime(), time.Now()
	time.Sleep(duration)
	seconds := time.Since(startTime).Seconds()
	cost.CPU = (cpuTime() - startCPU).Seconds() / seconds / float64(count)
	endTraffic, endNodeBytes := c.totalTraffic()
	cost.PeerBytes = (endTraffic.peer - startTraffic.peer) / seconds / float64(count)
	cost.LogBytes = (endTraffic.log - startTraffic.log) / seconds / float64(count)
	cost.CrossRegionBytes = (endTraffic.crossRegionBytes - startTraffic.crossRegionBytes) / seconds
	perNodeSecond := 1 / seconds / float64(count)
	cost.Datagrams = (endTraffic.datagrams - startTraffic.datagrams) * perNodeSecond
	cost.Pings, cost.Reads = (endTraffic.pings-startTraffic.pings)*perNodeSecond,
		(endTraffic.reads-startTraffic.reads)*perNodeSecond
	// Each byte of a call is counted twice: sent by one node and received by another.
	cost.PingBytes, cost.ReadBytes, cost.OtherBytes = 2*(endTraffic.pingBytes-startTraffic.pingBytes)*perNodeSecond,
		2*(endTraffic.readBytes-startTraffic.readBytes)*perNodeSecond,
		2*(endTraffic.otherBytes-startTraffic.otherBytes)*perNodeSecond
	for i := range endNodeBytes {
		cost.MaxPeerBytes = max(cost.MaxPeerBytes, (endNodeBytes[i]-startNodeBytes[i])/seconds)
	}
	return cost, nil
}

// traffic holds the fleet's cumulative byte, datagram and call counts.
type traffic struct {
	peer, log, crossRegionBytes, datagrams float64
	pings, reads                           float64
	pingBytes, readBytes, otherBytes       float64
}

// totalTraffic returns the traffic of the whole fleet and the socket bytes of each node.
func (c *Cluster) totalTraffic() (traffic, []float64) {
	var sum traffic
	var nodeBytes []float64
	for i, socket := range c.sockets {
		bytes := float64(socket.sent.Load() + socket.received.Load())
		nodeBytes = append(nodeBytes, bytes)
		sum.peer += bytes
		sum.crossRegionBytes += float64(socket.crossRegionBytes.Load())
		sum.datagrams += float64(socket.datagrams.Load())
		sum.pings += float64(c.callers[i].pings.calls.Load())
		sum.reads += float64(c.callers[i].reads.calls.Load())
		sum.pingBytes += float64(c.callers[i].pings.bytes.Load())
		sum.readBytes += float64(c.callers[i].reads.bytes.Load())
		sum.otherBytes += float64(c.callers[i].others.bytes.Load())
		sum.log += float64(c.logs[i].bytes.Load())
		if c.Nodes[i].Settings().Region != logRegion {
			sum.crossRegionBytes += float64(c.logs[i].bytes.Load())
		}
	}
	return sum, nodeBytes
}

func memoryInUse() float64 {
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
