package httpwire

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/rawpeer"
)

// longBody is longer than what the system takes before the peer reads.
var longBody = make([]byte, 8<<20)

// upload sends a long body and returns what the peer answered.
func upload(c *Client, address string) (string, error) {
	resp, err := c.Do(context.Background(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: longBody})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// unframed are the forms of an answer whose end is that of the connection.
var unframed = map[string]string{
	"without length":   "HTTP/1.1 200 OK\r\n\r\n",
	"connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":         "HTTP/1.0 200 OK\r\n\r\n",
}

// Guards against a part of an answer that is taken for all of it: the upstream resets the connection while the request is still
// being written.
func TestEarlyAnswerCutByReset(t *testing.T) {
	for name, head := range unframed {
		for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name+" after "+wait.String(), func(t *testing.T) {
				is := is.New(t)
				address := rawpeer.NewEarly(t, rawpeer.Early{Answer: head + "a part", Wait: wait, Reset: true})
				for range 5 {
					_, err := upload(newTestClient(), address)
					is.True(err != nil)
				}
			})
		}
	}
}

// Guards against losing a whole answer that comes before the request was written, as a server sends that refuses a body.
func TestWholeEarlyAnswer(t *testing.T) {
	answers := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n",
	}
	for name, head := range unframed {
		answers[name] = head + "all"
	}
	for name, answer := range answers {
		for _, reset := range []bool{false, true} {
			if reset && !strings.HasSuffix(answer, "0\r\n\r\n") && !strings.Contains(answer, "Length") {
				continue // its end can't be told from a cut
			}
			t.Run(name+map[bool]string{true: ", reset"}[reset], func(t *testing.T) {
				is := is.New(t)
				address := rawpeer.NewEarly(t, rawpeer.Early{Answer: answer, Wait: 5 * time.Millisecond, Reset: reset})
				for range 4 {
					body, err := upload(newTestClient(), address)
					is.NoErr(err)
					is.Equal(body, "all")
				}
			})
		}
	}
}
