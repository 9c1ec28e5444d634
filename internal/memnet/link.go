package memnet

import (
	"context"
	"syscall"
	"time"
)

// packetBytes is what a packet takes of a link beside its data; handshakes are packets without data.
const packetBytes = 60

// maxPacketData is the data of a full packet.
const maxPacketData = 1440

// link is the link of a host, with a queue in each direction that is never full.
type link struct {
	// speed is in bytes a second.
	speed int
	// outFree and inFree are when what was sent and what is to be received so far has passed.
	outFree, inFree time.Time
}

// SetLink gives a host a link of a speed in bytes a second, in each direction. All that the host sends and receives passes
// through it in order.
func (n *Network) SetLink(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = &link{speed: bytesPerSecond}
}

// SetDelay sets how long what one of two hosts sends takes to reach the other.
func (n *Network) SetDelay(x, y string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[pathBetween(x, y)] = oneWay
}

// passLocked returns when bytes that a host sends now reach another one.
func (n *Network) passLocked(from, to string, size int) time.Time {
	at := time.Now()
	if l := n.links[from]; l != nil {
		l.outFree = l.pass(l.outFree, at, size)
		at = l.outFree
	}
	if l := n.links[to]; l != nil {
		l.inFree = l.pass(l.inFree, at, size)
		at = l.inFree
	}
	return at.Add(n.delays[pathBetween(from, to)])
}

func (l *link) pass(free, at time.Time, size int) time.Time {
	if at.Before(free) {
		at = free
	}
	return at.Add(time.Duration(float64(size) / float64(l.speed) * float64(time.Second)))
}

// onWire returns how many bytes some data takes of a link.
func onWire(data int) int {
	return data + packetBytes*(1+data/maxPacketData)
}

// passHandshake waits until a packet without data has passed from one host to another.
func (n *Network) passHandshake(ctx context.Context, from, to string) error {
	n.mu.Lock()
	at := n.passLocked(from, to, packetBytes)
	n.mu.Unlock()
	if !at.After(time.Now()) {
		return nil
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return syscall.ETIMEDOUT
	}
}
