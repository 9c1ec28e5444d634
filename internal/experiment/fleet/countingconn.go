package fleet

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
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
	// delay is how long a datagram to the other region takes.
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
	c.crossed.Add(size)
	if c.delay == 0 {
		return c.PacketConn.WriteTo(p, to)
	}
	late := slices.Clone(p)
	// A datagram that can't be sent any more is lost, as on a link.
	time.AfterFunc(c.delay, func() { _, _ = c.PacketConn.WriteTo(late, to) })
	return len(p), nil
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.received.Add(int64(n) + datagramOverhead)
	return n, from, err
}
