package fleet

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// datagramOverhead is the size of the IPv4 and UDP headers of a datagram.
const datagramOverhead = 28

// countingConn counts the bytes of a node's socket, including headers, and delays
// datagrams to the other region.
type countingConn struct {
	net.PacketConn
	sent     atomic.Int64
	received atomic.Int64
	// datagrams counts the datagrams sent.
	datagrams atomic.Int64
	// crossRegionBytes counts the bytes sent to the other region.
	crossRegionBytes atomic.Int64
	remote           func(net.Addr) bool
	// delay is the one-way latency to the other region.
	delay time.Duration
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	size := int64(len(p)) + datagramOverhead
	c.sent.Add(size)
	c.datagrams.Add(1)
	if !c.remote(to) {
		return c.PacketConn.WriteTo(p, to)
	}
	c.crossRegionBytes.Add(size)
	if c.delay == 0 {
		return c.PacketConn.WriteTo(p, to)
	}
	datagram := slices.Clone(p)
	// A datagram that fails to be sent after the delay is lost, as on a real link.
	time.AfterFunc(c.delay, func() { _, _ = c.PacketConn.WriteTo(datagram, to) })
	return len(p), nil
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.received.Add(int64(n) + datagramOverhead)
	return n, from, err
}
