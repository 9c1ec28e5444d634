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

// meter counts appends to the log, and the bytes that nodes of the away region exchange with
// the log and with the other region.
type meter struct {
	homeRegion string
	logBytes   atomic.Uint64
	peerBytes  atomic.Uint64
	appends    atomic.Uint64

	mu      sync.Mutex
	regions map[string]string
}

func newMeter(region string) *meter { return &meter{homeRegion: region, regions: map[string]string{}} }

func (m *meter) wrapLog(location devfleet.Location, log ports.Log) ports.Log {
	return &meteredLog{Log: log, meter: m, away: location.Region != m.homeRegion}
}

func (m *meter) wrapSocket(location devfleet.Location, socket net.PacketConn) net.PacketConn {
	m.mu.Lock()
	m.regions[socket.LocalAddr().String()] = location.Region
	m.mu.Unlock()
	udp, ok := socket.(*net.UDPConn)
	if !ok {
		return socket
	}
	return &meteredSocket{UDPConn: udp, meter: m, region: location.Region}
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
		l.meter.logBytes.Add(uint64(len(data)))
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements ports.Log.
func (l *meteredLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	result, err := l.Log.Read(ctx, stream, from, max, wait)
	if l.away {
		for _, r := range result.Records {
			l.meter.logBytes.Add(uint64(len(r.Data)))
		}
	}
	return result, err
}

type meteredSocket struct {
	*net.UDPConn
	meter  *meter
	region string
}

// WriteTo implements net.PacketConn. Only sent packets are counted, so that each packet
// counts once.
func (s *meteredSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.countSent(p, to)
	return s.UDPConn.WriteTo(p, to)
}

// WriteMsgUDP is the method that the QUIC library uses to send packets.
func (s *meteredSocket) WriteMsgUDP(p, oob []byte, to *net.UDPAddr) (int, int, error) {
	s.countSent(p, to)
	return s.UDPConn.WriteMsgUDP(p, oob, to)
}

func (s *meteredSocket) countSent(p []byte, to net.Addr) {
	if s.meter.regionOf(to) != s.region {
		s.meter.peerBytes.Add(uint64(len(p)))
	}
}
