package reach

import (
	"context"
	"errors"
	"net"
	"time"
)

var (
	// ErrNoPeer is returned if no other node could be asked for a connection, or none answered.
	ErrNoPeer = errors.New("no other node answered")
	// ErrPeersRefused is returned if at least one other node answered that it has no path either, and
	// none opened a connection.
	ErrPeersRefused = errors.New("no other node has a path")
)

// RefusedError is returned by a Tunneler if the other node answered that it opens no connection.
type RefusedError struct{ Reason string }

// Error returns the other node's reason.
func (e *RefusedError) Error() string { return "the node opens no connection: " + e.Reason }

// relayResult is the result of asking one peer.
type relayResult struct {
	peer Peer
	conn net.Conn
	err  error
}

// dialThroughPeers asks other nodes for a connection, one after the other at short intervals, and
// returns the first.
func (d *Dialer) dialThroughPeers(ctx context.Context, p *path) (net.Conn, error) {
	peers := d.rankPeers(ctx)
	if len(peers) == 0 || d.now() < time.Duration(d.peersSilentUntil.Load()) {
		return nil, ErrNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.RelayTimeout)
	results := make(chan relayResult, len(peers))
	timer := time.NewTimer(0)
	defer timer.Stop()
	asked, pending, refused := 0, 0, false
	for {
		var next <-chan time.Time
		if asked < len(peers) {
			next = timer.C
		} else if pending == 0 {
			cancel()
			return nil, d.noTunnel(ctx, refused)
		}
		select {
		case <-next:
			peer := peers[asked]
			asked, pending = asked+1, pending+1
			go func() {
				c, err := d.deps.Tunnels.Tunnel(ctx, peer.Address, p.address)
				results <- relayResult{peer, c, err}
			}()
			timer.Reset(d.settings.RelayStagger)
		case r := <-results:
			pending--
			if r.err == nil {
				d.metrics.relayedDials.Add(1)
				go closeLateTunnels(results, pending, cancel)
				return d.observeRelayed(p, r), nil
			}
			refused = refused || errors.As(r.err, new(*RefusedError))
			if ctx.Err() != nil {
				asked = len(peers) // there is no time for others
				continue
			}
			d.avoid(r.peer.Name)
			timer.Reset(0)
		}
	}
}

// explore connects through other nodes on a path that isn't known to be cut, unless many such attempts run:
// on a node whose own link is full every attempt is slow, and the tunnels would make it fuller.
func (d *Dialer) explore(ctx context.Context, p *path) (net.Conn, error) {
	defer d.explorations.Add(-1)
	if d.explorations.Add(1) > d.settings.MaxExplorations {
		return nil, ErrNoPeer
	}
	return d.dialThroughPeers(ctx, p)
}

// noTunnel returns the error after no peer has opened a connection. If none has answered at all, the
// fault is most likely this node's own, such as a full link: asking them again at once would only add
// to it.
func (d *Dialer) noTunnel(ctx context.Context, refused bool) error {
	switch {
	case refused:
		return ErrPeersRefused
	case hasAllowedRegions(ctx): // other nodes may answer
		return ErrNoPeer
	}
	d.peersSilentUntil.Store(int64(d.now() + d.settings.PeerAvoidance))
	return ErrNoPeer
}

// closeLateTunnels closes the connections of peers that answered after another one.
func closeLateTunnels(results <-chan relayResult, pending int, cancel context.CancelFunc) {
	cancel()
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // nothing was sent on it
		}
	}
}

// rankPeers returns the peers to ask, in order.
func (d *Dialer) rankPeers(ctx context.Context) []Peer {
	node := d.node.Load()
	if node == nil || d.deps.Tunnels == nil {
		return nil
	}
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return rank(allowedPeers(ctx, node.Peers()), d.location, func(name string) bool { return now < d.avoided[name] }, d.settings.MaxPeersAsked)
}

// avoid ranks a peer after the others for a while.
func (d *Dialer) avoid(name string) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, until := range d.avoided {
		if now >= until {
			delete(d.avoided, other)
		}
	}
	d.avoided[name] = now + d.settings.PeerAvoidance
}
