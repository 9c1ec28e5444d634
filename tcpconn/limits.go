package tcpconn

import "time"

// Limits are when a connection whose peer doesn't answer ends.
type Limits struct {
	// UserTimeout is how long sent data or probes may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveIdle is how long nothing is received before the peer is probed, KeepAliveInterval the
	// time between two probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
}

var (
	// ServerLimits are for connections to upstreams, the store and other nodes. A sound upstream may
	// be silent for a second or so, and a lossy link may lose a packet three times in a row: neither
	// may end a connection.
	ServerLimits = Limits{UserTimeout: 3 * time.Second, KeepAliveIdle: time.Second, KeepAliveInterval: time.Second}
	// CallerLimits are for accepted connections: a caller that can't be reached for some seconds may
	// come back for its answer.
	CallerLimits = Limits{UserTimeout: 10 * time.Second, KeepAliveIdle: 5 * time.Second, KeepAliveInterval: 2 * time.Second}
)

// probes returns the number of keep-alive probes after which systems that ignore the user timeout
// there end a connection.
func (l Limits) probes() int {
	return max(1, int((l.UserTimeout-l.KeepAliveIdle)/l.KeepAliveInterval))
}
