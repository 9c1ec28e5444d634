package fleet

import (
	"net"
	"sync/atomic"
)

// datagramOverhead is the IPv4 and UDP headers of a datagram.
const datagramOverhead = 28

// countingConn counts the bytes of a node's socket, headers included.
type countingConn struct {
	net.PacketConn
	sent     atomic.Int64
	received atomic.Int64
	// datagrams counts those sent.
	datagrams atomic.Int64
	// crossed counts what was sent to the other region.
	crossed atomic.Int64
	remote  func(net.Addr) bool
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, to)
	c.sent.Add(int64(n) + datagramOverhead)
	c.datagrams.Add(1)
	if c.remote(to) {
		c.crossed.Add(int64(n) + datagramOverhead)
	}
	return n, err
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.received.Add(int64(n) + datagramOverhead)
	return n, from, err
}
