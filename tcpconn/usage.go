package tcpconn

import (
	"net"
	"sync/atomic"
	"time"
)

// usage counts the bytes of a connection and knows when its request began to be read.
type usage struct {
	meter *Meter
	// firstRead is when the first byte was read since the connection was opened or idle; nil if none was.
	firstRead atomic.Pointer[time.Time]
}

func (u *usage) read(n int) {
	if n <= 0 {
		return
	}
	u.meter.received.Add(int64(n))
	if u.firstRead.Load() == nil {
		now := time.Now()
		u.firstRead.Store(&now)
	}
}

func (u *usage) wrote(n int) { u.meter.sent.Add(int64(n)) }

func (u *usage) sinceFirstRead() time.Duration {
	at := u.firstRead.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

func (u *usage) markIdle() { u.firstRead.Store(nil) }

// SinceFirstRead returns how long ago the process read the first byte of a connection's request. It is 0 for a
// connection without a meter.
func SinceFirstRead(c net.Conn) time.Duration {
	if u, ok := c.(interface{ sinceFirstRead() time.Duration }); ok {
		return u.sinceFirstRead()
	}
	return 0
}

// MarkIdle takes note that a connection has no request: the next byte is the first of another one.
func MarkIdle(c net.Conn) {
	if u, ok := c.(interface{ markIdle() }); ok {
		u.markIdle()
	}
}
