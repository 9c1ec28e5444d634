package daemon

import (
	"net"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Sockets are the sockets that a daemon serves on.
type Sockets struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.PacketConn
}

// open returns the sockets, with missing ones opened at the addresses in the settings. After an
// error, no socket that it opened is left open.
func (s Sockets) open(settings node.Settings) (_ Sockets, err error) {
	var opened []interface{ Close() error }
	defer func() {
		if err == nil {
			return
		}
		for _, socket := range opened {
			_ = socket.Close()
		}
	}()
	if s.Peers == nil {
		if s.Peers, err = net.ListenPacket("udp", settings.PeerAddress); err != nil {
			return Sockets{}, errors.Annotate(err, "peer address")
		}
		opened = append(opened, s.Peers)
	}
	if s.Callers == nil {
		if s.Callers, err = tcpconn.ListenInheriting(settings.HTTPAddress, tcpconn.CallerLimits); err != nil {
			return Sockets{}, errors.Annotate(err, "HTTP address")
		}
		opened = append(opened, s.Callers)
	}
	if s.Operators == nil {
		if s.Operators, err = tcpconn.Listen(settings.OperatorAddress, tcpconn.CallerLimits); err != nil {
			return Sockets{}, errors.Annotate(err, "operator address")
		}
	}
	return s, nil
}
