package devfleet

import (
	"net"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/daemon"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

const loopbackAnyPort = "127.0.0.1:0"

// openSockets opens a node's sockets on loopback ports that the system chooses, and
// stores their addresses in the settings. A port that was probed and closed again could be
// taken by another process before the node opens it, and node starts would fail
// intermittently.
func openSockets(settings *node.Settings) (daemon.Sockets, error) {
	var s daemon.Sockets
	var err error
	if s.Callers, err = tcpconn.ListenInheriting(loopbackAnyPort, tcpconn.CallerLimits); err != nil {
		return s, errors.Trace(err)
	}
	if s.Operators, err = tcpconn.Listen(loopbackAnyPort, tcpconn.CallerLimits); err != nil {
		return s, errors.Trace(err)
	}
	if s.Peers, err = net.ListenPacket("udp", loopbackAnyPort); err != nil {
		return s, errors.Trace(err)
	}
	settings.HTTPAddress = s.Callers.Addr().String()
	settings.OperatorAddress = s.Operators.Addr().String()
	settings.PeerAddress = s.Peers.LocalAddr().String()
	return s, nil
}
