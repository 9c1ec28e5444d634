package httpapi

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
)

// Node is the part of a node that the API uses.
type Node interface {
	Requests() *request.Server
	Addresses(key string) ([]membership.Address, time.Duration)
	Events() *event.Recorder
	// Serving returns nil if the node accepts requests, or else the error to answer with.
	Serving() error
	// Leaving reports whether the node is draining or has stopped.
	Leaving() bool
}

// Server is the HTTP server for callers.
type Server struct {
	node  func() Node
	hertz *server.Hertz
}

// New returns a server on the listener. node is called for each request, since a daemon
// replaces its node when the fleet closes the node's incarnation.
func New(listener net.Listener, node func() Node) *Server {
	s := &Server{node: node}
	s.hertz = server.New(
		server.WithListener(listener),
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	s.hertz.Use(s.recoverPanic, s.closeWhenDraining)
	s.hertz.GET("/healthz", s.health)
	s.hertz.GET("/v1/addresses", s.addresses)
	s.hertz.POST("/v1/chat/completions", s.chat)
	s.hertz.GET("/v1/streams", s.resume)
	s.hertz.POST("/v1/tickets", s.ticket)
	s.hertz.Any("/s/:service/*path", s.call)
	s.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeError(c, result.New(result.UnknownService, "no such path"))
	})
	return s
}

// Run serves until Shutdown.
func (s *Server) Run() error { return s.hertz.Run() }

// Shutdown stops accepting connections and waits for open ones to finish.
func (s *Server) Shutdown(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// recoverPanic keeps a panic in one request from ending the node, which would cut off every
// other answer on it.
func (s *Server) recoverPanic(ctx context.Context, c *app.RequestContext) {
	defer func() {
		if cause := recover(); cause != nil {
			s.node().Events().Record(event.PanicRecovered, "path", string(c.Path()), "why", cause)
			writeError(c, result.New(result.InternalError, "a defect in this node"))
		}
	}()
	c.Next(ctx)
}

// closeWhenDraining closes each connection after its answer while the node drains. Otherwise
// a caller with a keep-alive connection could send its next request just as the listener
// closes, and be cut off.
func (s *Server) closeWhenDraining(ctx context.Context, c *app.RequestContext) {
	if s.node().Leaving() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}

func (s *Server) health(_ context.Context, c *app.RequestContext) {
	if err := s.node().Serving(); err != nil {
		writeError(c, err)
		return
	}
	c.String(200, "serving\n")
}

func (s *Server) addresses(_ context.Context, c *app.RequestContext) {
	list, lifetime := s.node().Addresses(bearerToken(c))
	s.node().Events().Record(event.AddressesHandedOut, "count", len(list))
	c.JSON(200, map[string]any{"addresses": list, "ttl_seconds": lifetime.Seconds()})
}

func (s *Server) chat(ctx context.Context, c *app.RequestContext) {
	if len(c.GetHeader(headerLastEventID)) > 0 {
		s.resume(ctx, c)
		return
	}
	key := string(c.GetHeader(headerIdempotencyKey))
	if err := s.refusal(key != ""); err != nil {
		writeError(c, err)
		return
	}
	timeout, err := parseTimeout(c)
	if err == nil {
		err = s.refuseLate(timeout, key != "")
	}
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := readBody(c)
	if err != nil {
		writeError(c, err)
		return
	}
	call := request.ChatCall{Key: bearerToken(c), Body: body, Timeout: timeout, IdempotencyKey: key}
	sink := newChatSink(c, wantsStream(body))
	sink.finish(s.node().Requests().Chat(ctx, call, sink))
}

// resume continues a stream after the last event id that the caller got.
func (s *Server) resume(ctx context.Context, c *app.RequestContext) {
	if err := s.refusal(true); err != nil {
		writeError(c, err)
		return
	}
	call := request.ResumeCall{Key: bearerToken(c), Cursor: string(c.GetHeader(headerLastEventID))}
	sink := newChatSink(c, true)
	sink.finish(s.node().Requests().ResumeChat(ctx, call, sink))
}

func (s *Server) call(ctx context.Context, c *app.RequestContext) {
	timeout, err := parseTimeout(c)
	if err == nil {
		err = s.refuseLate(timeout, mayHaveRunBefore(c))
	}
	if err != nil {
		writeError(c, err)
		return
	}
	call, err := parseServiceCall(c, timeout)
	if err != nil {
		writeError(c, err)
		return
	}
	if err := s.refusal(mayHaveRunBefore(c)); err != nil {
		writeError(c, err)
		return
	}
	answer, err := s.node().Requests().Call(ctx, call)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(answer.Status, answer.ContentType, answer.Body)
}

// refusal returns the recorded refusal of a node that accepts no requests; nil if it does.
// mayHaveRun says that the request may have run elsewhere, by an earlier try.
func (s *Server) refusal(mayHaveRun bool) error {
	n := s.node()
	err := n.Serving()
	if err == nil {
		return nil
	}
	if mayHaveRun {
		err = result.From(err).WithMayHaveRun()
	}
	return n.Requests().RecordRefusal(err)
}

// refuseLate returns the recorded refusal of a request that would be answered too late, before its body is read; nil if it
// may be read.
func (s *Server) refuseLate(timeout time.Duration, mayHaveRun bool) error {
	err := s.node().Requests().RefuseLate(timeout)
	if err != nil && mayHaveRun {
		return result.From(err).WithMayHaveRun()
	}
	return err
}

// mayHaveRunBefore reports whether a call may have run elsewhere, by an earlier try.
func mayHaveRunBefore(c *app.RequestContext) bool {
	return len(c.GetHeader(headerIdempotencyKey)) > 0 || len(c.GetHeader(headerTicket)) > 0
}

func bearerToken(c *app.RequestContext) string {
	key, found := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !found {
		return ""
	}
	return key
}
