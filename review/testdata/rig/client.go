package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is a client attempt.
type call struct {
	method, path, body, key string
	deadline                time.Duration
	// tokens, model and prefix are set for requests to model engines.
	tokens, model, prefix string
	// after is the last event that the client has, valid if resumes is set.
	after   int
	resumes string
}

// outcome is what the client sees of an attempt.
type outcome struct {
	ID, Node, Method, Path string
	Sent, Ended            time.Time
	// Kept is set if the request went out on a connection that had carried others.
	Kept   bool
	Status int
	Stamp  string
	Body   string
	// Events are the ids of complete events; Text are their data lines.
	Events []string
	Err    string
}

// answered reports whether a whole answer came.
func (o *outcome) answered() bool { return o.Err == "" }

const host = "ficu95.example"

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

// client is a client with its own connections.
type client struct {
	http *http.Client
	log  *record
}

func newClient(log *record) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
	return &client{http: &http.Client{Transport: transport}, log: log}
}

// do sends an attempt to a node and reads the answer to its end. It is never sent twice: a body that can't be
// rewound, or a header, keeps the HTTP client from that.
func (c *client) do(n *node, request call) outcome {
	o := outcome{ID: fmt.Sprintf("9c41d07b%08x", attempts.Add(1)), Node: n.name, Method: request.method, Path: request.path}
	ctx, cancel := context.WithTimeout(context.Background(), request.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.Kept = i.Reused }})
	var body io.Reader = http.NoBody
	if request.body != "" {
		body = struct{ io.Reader }{strings.NewReader(request.body)}
	}
	req, err := http.NewRequestWithContext(ctx, request.method, "http://"+n.at(frontendPort)+request.path, body)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	req.Host, req.ContentLength = host, int64(len(request.body))
	req.Header.Set(wire.AttemptID, o.ID)
	req.Header.Set("Deadline-Ms", fmt.Sprint(request.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+request.key)
	if request.tokens != "" {
		req.Header.Set("Model", request.model)
		req.Header.Set(wire.TokenCount, request.tokens)
		req.Header.Set(wire.PrefixHash, request.prefix)
	}
	if request.resumes != "" {
		req.Header.Set("Last-Event-Id", fmt.Sprint(request.after))
		req.Header.Set("Resumes", request.resumes)
	}
	o.Sent = time.Now()
	resp, err := c.http.Do(req)
	if err == nil {
		o.Status, o.Stamp = resp.StatusCode, resp.Header.Get(wire.Stamp)
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read to its end
		o.Body = string(raw)
		if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
			for _, event := range strings.SplitAfter(o.Body, "\n\n") {
				if strings.HasSuffix(event, "\n\n") {
					o.Events = append(o.Events, strings.TrimSpace(event))
				}
			}
			o.Body = ""
		}
	}
	o.Ended = time.Now()
	if err != nil {
		o.Err = err.Error()
	}
	c.log.outcome(&o)
	return o
}

// ready asks a node whether it is ready.
func ready(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.at(readyPort)+wire.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// outcomes collects what clients saw.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (s *outcomes) add(o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, o)
}
