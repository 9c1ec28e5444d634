package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/tlskeys"
)

// startSlowPath forwards datagrams to an address and back, each with a delay. It returns its address.
func startSlowPath(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	is := is.New(t)
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = front.Close() })
	back, err := net.Dial("udp", to)
	is.NoErr(err)
	t.Cleanup(func() { _ = back.Close() })
	caller := make(chan net.Addr, 1)
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, from, err := front.ReadFrom(buffer)
			if err != nil {
				return
			}
			select {
			case caller <- from: // the first caller is the only one
			default:
			}
			packet := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delay, func() { _, _ = back.Write(packet) })
		}
	}()
	go func() {
		buffer := make([]byte, 2048)
		var from net.Addr
		for {
			n, err := back.Read(buffer)
			if err != nil {
				return
			}
			if from == nil {
				from = <-caller
			}
			packet := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delay, func() { _, _ = front.WriteTo(packet, from) })
		}
	}()
	return front.LocalAddr().String()
}

// Guards against a peer that is never reached since connecting and one exchange together take longer than a call waits.
func TestSlowPeerIsReachedByLaterCalls(t *testing.T) {
	is := is.New(t)
	const delay, patience = 250 * time.Millisecond, 950 * time.Millisecond // two round trips don't fit
	authority, err := tlskeys.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	here, _ := newTestQUIC(t, authority)
	there, address := newTestQUIC(t, authority)
	go func() {
		_ = there.Serve(t.Context(), func(context.Context, *fleetv1.Request) *fleetv1.Response { return &fleetv1.Response{} }, nil)
	}()
	path := startSlowPath(t, address, delay)
	const calls = 5
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		_, err = here.Call(ctx, path, &fleetv1.Request{})
		cancel()
		if err == nil {
			return
		}
	}
	is.NoErr(err)
}
