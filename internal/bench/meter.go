package bench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/ports"
)

// meter counts what nodes of the away region send and receive.
type meter struct {
	home    string
	log     atomic.Uint64
	peers   atomic.Uint64
	appends atomic.Uint64

	mu      sync.Mutex
	regions map[string]string
}

func newMeter(home string) *meter { return &meter{home: home, regions: map[string]string{}} }

func (m *meter) wrapLog(place devfleet.Location, log ports.Log) ports.Log {
	return &meteredLog{Log: log, meter: m, away: place.Region != m.home}
}

func (m *meter) wrapSocket(place devfleet.Location, socket net.PacketConn) net.PacketConn {
	m.mu.Lock()
	m.regions[socket.LocalAddr().String()] = place.Region
	m.mu.Unlock()
	udp, ok := socket.(*net.UDPConn)
	if !ok {
		return socket
	}
	return &meteredSocket{UDPConn: udp, meter: m, region: place.Region}
}

func (m *meter) regionOf(address net.Addr) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.regions[address.String()]
}

type meteredLog struct {
	ports.Log
	meter *meter
	away  bool
}

// Append implements ports.Log.
func (l *meteredLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.meter.appends.Add(1)
	if l.away {
		l.meter.log.Add(uint64(len(data)))
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements ports.Log.
func (l *meteredLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	slice, err := l.Log.Read(ctx, stream, from, max, wait)
	if l.away {
		for _, r := range slice.Records {
			l.meter.log.Add(uint64(len(r.Data)))
		}
	}
	return slice, err
}

type meteredSocket struct {
	*net.UDPConn
	meter  *meter
	region string
}

// WriteTo implements net.PacketConn. Only what is sent is counted, so that each
// packet counts once.
func (s *meteredSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.count(p, to)
	return s.UDPConn.WriteTo(p, to)
}

// WriteMsgUDP is what the QUIC library sends by.
func (s *meteredSocket) WriteMsgUDP(p, oob []byte, to *net.UDPAddr) (int, int, error) {
	s.count(p, to)
	return s.UDPConn.WriteMsgUDP(p, oob, to)
}

func (s *meteredSocket) count(p []byte, to net.Addr) {
	if s.meter.regionOf(to) != s.region {
		s.meter.peers.Add(uint64(len(p)))
	}
}
