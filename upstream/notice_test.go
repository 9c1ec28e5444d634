package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// testAccess is an Access that keeps the last notice.
type testAccess struct {
	mu       sync.Mutex
	last     Notice
	observed chan Notice
}

func newTestAccess() *testAccess { return &testAccess{observed: make(chan Notice, 100)} }

func (a *testAccess) Observe(_ *operatorv1.Upstream, notice Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = notice
	a.observed <- notice
}

func (a *testAccess) PauseLeft(*operatorv1.Upstream) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Pause
}

func (a *testAccess) SaidLeaving(*operatorv1.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Leaving
}

// pausingServer answers everything with 503 and Retry-After once release is closed, and records
// the paths.
type pausingServer struct {
	to      *operatorv1.Upstream
	release chan struct{}
	mu      sync.Mutex
	paths   []string
}

func newPausingServer(t *testing.T) *pausingServer {
	s := &pausingServer{release: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.paths = append(s.paths, r.URL.Path)
		s.mu.Unlock()
		<-s.release
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderRetryAfter, "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	s.to = &operatorv1.Upstream{Name: "e", Address: strings.TrimPrefix(server.URL, "http://")}
	return s
}

func (s *pausingServer) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

// Guards against a pause that is missed because of the kind of request that it answered.
func TestPauseIsReadFromEveryResponse(t *testing.T) {
	ctx := context.Background()
	for name, send := range map[string]func(c *Guard, to *operatorv1.Upstream) error{
		"chat": func(c *Guard, to *operatorv1.Upstream) error {
			_, err := c.Chat(ctx, to, ChatRequest{ID: "a.1", Body: []byte(`{}`)})
			return err
		},
		"call": func(c *Guard, to *operatorv1.Upstream) error {
			_, err := c.Call(ctx, to, CallRequest{ID: "a.1", Method: "POST", Path: "/", NoResend: true})
			return err
		},
		"load": func(c *Guard, to *operatorv1.Upstream) error {
			_, err := LoadReader{Client: c}.Load(ctx, to)
			return err
		},
		"usage": func(c *Guard, to *operatorv1.Upstream) error {
			_, err := c.Usage(ctx, to, "a.1")
			return err
		},
		"cancel": func(c *Guard, to *operatorv1.Upstream) error { return c.Cancel(ctx, to, "a.1") },
		"resume": func(c *Guard, to *operatorv1.Upstream) error {
			_, err := c.Resume(ctx, to, "a.1", 1)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, access, client := newPausingServer(t), newTestAccess(), newTestClient(t)
			close(server.release)
			err := send(&Guard{Client: client, Streams: client, Access: access}, server.to)
			if err != nil {
				is.True(!result.From(err).NotRun()) // the answer doesn't say that nothing ran
			}
			is.Equal((<-access.observed).Pause, 3*time.Second)
		})
	}
}

// Guards against a pause that is missed because the caller of the request that it answers has
// left.
func TestPauseIsReadAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	server, access, client := newPausingServer(t), newTestAccess(), newTestClient(t)
	guard := &Guard{Client: client, Access: access}
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() { close(server.release) })
	time.AfterFunc(time.Millisecond, cancel)
	_, err := guard.Chat(ctx, server.to, ChatRequest{ID: "a.1", Body: []byte(`{}`)})
	is.True(err != nil)
	is.Equal((<-access.observed).Pause, 3*time.Second)
}

// Guards against anything but a cancellation being sent during a pause.
func TestOnlyCancellationsAreSentDuringPause(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, access, client := newPausingServer(t), newTestAccess(), newTestClient(t)
	close(server.release)
	access.last = Notice{Pause: time.Second}
	guard := &Guard{Client: client, Streams: client, Access: access}
	_, chatErr := guard.Chat(ctx, server.to, ChatRequest{ID: "a.1", Body: []byte(`{}`)})
	_, callErr := guard.Call(ctx, server.to, CallRequest{ID: "a.1", Method: "POST", Path: "/"})
	_, usageErr := guard.Usage(ctx, server.to, "a.1")
	for _, err := range []error{chatErr, callErr, usageErr} {
		is.Equal(result.CodeOf(err), result.NoUpstream)
		is.True(result.From(err).NotRun())
		is.Equal(result.From(err).RetryAfter, time.Second)
	}
	_, err := guard.Resume(ctx, server.to, "a.1", 1)
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.True(!result.From(err).NotRun()) // the request whose rest is asked for has run
	_, err = LoadReader{Client: guard}.Load(ctx, server.to)
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.NoErr(guard.Cancel(ctx, server.to, "a.1"))
	is.Equal(server.received(), []string{"/v1/cancel"})
}

// Guards against a value that keeps an upstream out of use for ever, or a pause of no length.
func TestPauseValues(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 2 ": 2 * time.Second, "0.25": 250 * time.Millisecond,
		"0": 0, "-1": 0, "": 0, "soon": 0, "NaN": 0, "-Inf": 0, "Fri, 31 Dec 1999 23:59:59 GMT": 0,
		"1e300": maxPause, "Inf": maxPause, "99999999999999999999": maxPause,
	} {
		is.Equal(parsePause(text), want)
	}
}
