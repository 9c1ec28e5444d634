package main

import (
	"net"
	"net/http"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// endpoint is an address and what is served on it.
type endpoint struct {
	address string
	server  *http.Server
	// served is called once the server has accepted its last connection; it may be nil.
	served func()
	// opened is called with the listener before the server accepts from it; it may be nil.
	opened func(*queuedelay.Listener)
}

// serveAll serves on all endpoints until the process exits, or on none: a node that can't open
// one of its ports exits, and must not have accepted requests on another.
func serveAll(meter *tcpconn.Meter, endpoints []endpoint) error {
	listeners := make([]*queuedelay.Listener, 0, len(endpoints))
	for _, e := range endpoints {
		listener, err := queuedelay.Listen(func() (net.Listener, error) { return tcpconn.Listen(e.address, tcpconn.CallerLimits) })
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close() // the error above is the one to report
			}
			return errors.Trace(err)
		}
		listeners = append(listeners, listener)
	}
	for i, e := range endpoints {
		if e.opened != nil {
			e.opened(listeners[i])
		}
		go func() {
			_ = e.server.Serve(meter.Listener(listeners[i])) // until the listener is closed, or the process exits
			if e.served != nil {
				e.served()
			}
		}()
	}
	return nil
}
