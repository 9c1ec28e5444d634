package reach

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/rawpeer"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// exchangeThroughRelay uploads to an upstream through a relay and returns what comes back.
func exchangeThroughRelay(t *testing.T, upstreamAddress string) (string, error) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dial := tcpconn.Dialer(tcpconn.ServerLimits)
	node, err := dial(context.Background(), l.Addr().String())
	is.NoErr(err)
	atRelay, err := l.Accept()
	is.NoErr(err)
	upstream, err := dial(context.Background(), upstreamAddress)
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		relay(atRelay, atRelay, upstream)
	}()
	go func() {
		_, _ = io.WriteString(node, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n") // shows in what is read
		_, _ = node.Write(make([]byte, 16<<20))                                                       // the same
	}()
	reader := bufio.NewReader(node)
	head, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(head, "HTTP/1.1 200 OK\r\n")
	_, err = reader.ReadString('\n')
	is.NoErr(err)
	got, err := io.ReadAll(&frameReader{r: reader})
	is.NoErr(node.Close())
	<-ended
	return string(got), err
}

// Guards against a part of an answer that is taken for all of it: the upstream resets the connection to the relay while the request is
// still being written.
func TestEarlyAnswerCutByResetThroughRelay(t *testing.T) {
	is := is.New(t)
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		address := rawpeer.NewEarly(t, rawpeer.Early{Answer: "a part", Wait: wait, Reset: true})
		for range 10 {
			_, err := exchangeThroughRelay(t, address)
			is.True(err != nil)
		}
	}
}

// Guards against losing a whole answer, or its end, because the relay drops it once the upstream reads no more of the request.
func TestWholeEarlyAnswerThroughRelay(t *testing.T) {
	is := is.New(t)
	const long = 256 << 10
	for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
		address := rawpeer.NewEarly(t, rawpeer.Early{Answer: string(make([]byte, long)), Wait: wait})
		for range 10 {
			got, err := exchangeThroughRelay(t, address)
			is.NoErr(err)
			is.Equal(len(got), long)
		}
	}
}
