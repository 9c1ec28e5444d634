package request

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/result"
)

// newPlainFixture returns a fixture with the given number of plain service instances.
func newPlainFixture(t *testing.T, instances int) (*fixture, []*standin.Service) {
	s := newFixture(t)
	var services []*standin.Service
	for i := range instances {
		listener := s.listen()
		service := standin.NewService(listener, 0)
		services = append(services, service)
		go func() { _ = service.Run() }()
		t.Cleanup(service.Close)
		s.declareUpstream("plain-"+string(rune('0'+i)), "orders", listener.Addr().String())
	}
	s.apply()
	return s, services
}

func order(method, body string) ServiceCall {
	return ServiceCall{Key: testKey, Service: "orders", Method: method, Path: "/work", Body: []byte(body)}
}

func TestLostAnswerIsNotRetried(t *testing.T) {
	// A service files a work order and its answer is lost. A retry at the next instance would
	// file the order twice; if reported as "not run", the caller would file it again.
	is := is.New(t)
	s, services := newPlainFixture(t, 2)
	n := s.newServer("a")
	services[0].DropResponses(1)
	_, err := n.Call(context.Background(), order("POST", "order"))
	is.Equal(result.CodeOf(err), result.OutcomeUnknown)
	is.True(!result.From(err).NotRun())
	is.Equal(services[0].Runs()["order"], 1)
	is.Equal(services[1].Runs()["order"], 0)
	is.Equal(n.billedTokens(t), uint64(0)) // no answer, nothing billed
}

func TestIdempotentCallIsRetriedOnAnotherInstance(t *testing.T) {
	// The same loss during a read: the next instance answers, and the call is billed once.
	is := is.New(t)
	s, services := newPlainFixture(t, 2)
	n := s.newServer("a")
	services[0].DropResponses(1)
	response, err := n.Call(context.Background(), order("GET", "quote"))
	is.NoErr(err)
	is.Equal(string(response.Body), "quote")
	is.Equal(n.billedTokens(t), uint64(1))
}

func TestUnreachableInstanceCountsAsNotRun(t *testing.T) {
	// A closed port proves that nothing ran on the instance: the order goes to the next
	// instance, or is reported as "not run" if there is none.
	is := is.New(t)
	closed := newFixture(t).listen()
	is.NoErr(closed.Close())
	s, _ := newPlainFixture(t, 1)
	s.declareUpstream("a-closed", "orders", closed.Addr().String()) // tried first
	s.apply()
	n := s.newServer("a")
	response, err := n.Call(context.Background(), order("POST", "order"))
	is.NoErr(err)
	is.Equal(string(response.Body), "order")
	is.Equal(n.billedTokens(t), uint64(5))
	s.declareUpstream("plain-0", "orders", closed.Addr().String())
	s.apply()
	_, err = n.Call(context.Background(), order("POST", "other"))
	is.Equal(result.CodeOf(err), result.NoUpstream)
	is.True(result.From(err).NotRun())
	is.Equal(n.billedTokens(t), uint64(5))
}

func TestClosedConnectionDoesNotRepeatPut(t *testing.T) {
	// A service receives a PUT over a keep-alive connection, files the order and closes the
	// connection without an answer. If the HTTP library retried the PUT by itself, the order
	// would be filed twice.
	is := is.New(t)
	var runs atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) > 1 {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = w.Write([]byte("filed"))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s := newFixture(t)
	s.declareUpstream("plain", "orders", listener.Addr().String())
	s.apply()
	n := s.newServer("a")
	_, err = n.Call(context.Background(), order("PUT", "one"))
	is.NoErr(err)
	_, err = n.Call(context.Background(), order("PUT", "two"))
	is.Equal(result.CodeOf(err), result.OutcomeUnknown)
	is.Equal(runs.Load(), int64(2))
}

type noRetries struct{}

func (noRetries) FirstAttempt()  {}
func (noRetries) TryRetry() bool { return false }

func TestExhaustedRetryBudgetStopsRetries(t *testing.T) {
	// Every request to a service fails. Unbounded retries would triple its load while it is
	// least able to take it.
	is := is.New(t)
	s, services := newPlainFixture(t, 2)
	n := s.newServer("a")
	n.Retries = noRetries{}
	services[0].DropResponses(1)
	_, err := n.Call(context.Background(), order("GET", "quote"))
	is.Equal(result.CodeOf(err), result.UpstreamFailed)
	is.Equal(services[1].Runs()["quote"], 0)
	n.billedTokens(t)
}

func TestDotSegmentsAreRejected(t *testing.T) {
	is := is.New(t)
	s, services := newPlainFixture(t, 1)
	n := s.newServer("a")
	call := order("GET", "x")
	call.Path = "/quotes/%2e%2e/work"
	_, err := n.Call(context.Background(), call)
	is.Equal(result.CodeOf(err), result.InvalidPath)
	is.Equal(len(services[0].Runs()), 0)
}
