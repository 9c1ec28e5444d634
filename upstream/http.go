package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// Statuses that tell what to do.
const (
	statusOK            = 200
	statusBadRequest    = 400
	statusNotFound      = 404
	statusExpired       = 408
	statusGone          = 410
	statusUnprocessable = 422
)

const (
	dialTimeout = 2 * time.Second
	// readTimeout bounds the silence within an answer: an engine that hangs is
	// given up on, whatever its connection says.
	readTimeout    = 30 * time.Second
	maxConnections = 4096
	idleConnection = 30 * time.Second
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 8 << 20
)

// HeaderRequestID names a request; upstreams must echo it.
const HeaderRequestID = "X-Request-Id"

// HTTPClient implements Client.
type HTTPClient struct {
	client *client.Client
	// once opens a connection for each call. The library sends PUT and DELETE again
	// by itself when a kept connection turns out closed, though the upstream may have
	// run the first one: a work order would be filed twice. And a POST on a kept
	// connection that the upstream had closed unused would end as "outcome unknown".
	once *client.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool.
func NewHTTPClient() (*HTTPClient, error) { return NewHTTPClientWithReadTimeout(readTimeout) }

// NewHTTPClientWithReadTimeout returns a client that gives an upstream up after it was
// silent for so long within an answer.
func NewHTTPClientWithReadTimeout(silence time.Duration) (*HTTPClient, error) {
	kept, err := newClient(client.WithClientReadTimeout(silence))
	if err != nil {
		return nil, errors.Annotate(err, "upstream client")
	}
	once, err := newClient(client.WithClientReadTimeout(silence), client.WithKeepAlive(false))
	if err != nil {
		return nil, errors.Annotate(err, "upstream client")
	}
	return &HTTPClient{client: kept, once: once}, nil
}

func newClient(more ...config.ClientOption) (*client.Client, error) {
	return client.NewClient(append([]config.ClientOption{
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxIdleConnDuration(idleConnection),
		client.WithResponseBodyStream(true),
		client.WithDialer(standard.NewDialer()),
	}, more...)...)
}

// Close drops idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// Chat implements Client.
func (c *HTTPClient) Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error) {
	request := protocol.AcquireRequest()
	request.SetMethod("POST")
	request.SetRequestURI("http://" + to.GetAddress() + "/v1/chat/completions")
	request.Header.SetContentTypeBytes([]byte("application/json"))
	request.Header.Set(HeaderRequestID, r.ID)
	request.SetBody(r.Body)
	setNotAfter(request, r.NotAfter)
	return c.stream(ctx, to, request, streamAsk{id: r.ID, notAfter: r.NotAfter})
}

// streamAsk is what was asked of an engine that answers with an event stream.
type streamAsk struct {
	id string
	// from is the number of the first chunk wanted.
	from     uint64
	notAfter time.Time
}

// stream sends a request that an event stream answers; it takes the request over.
func (c *HTTPClient) stream(ctx context.Context, to *operatorv1.Upstream, request *protocol.Request, ask streamAsk) (ChatStream, error) {
	response, err := send(ctx, c.client, request)
	if err != nil {
		return nil, sendError(to, err)
	}
	if late := expired(to, response, ask.notAfter); late != nil {
		protocol.ReleaseResponse(response)
		return nil, late
	}
	switch status := response.StatusCode(); status {
	case statusOK:
		return newHTTPStream(ctx, to.GetName(), ask.id, ask.from, response)
	case statusNotFound, statusGone:
		protocol.ReleaseResponse(response)
		return nil, result.New(result.StreamLost, "%s doesn't hold the stream", to.GetName())
	case statusBadRequest, statusUnprocessable:
		body := string(response.Body())
		protocol.ReleaseResponse(response)
		return nil, result.New(result.MalformedRequest, "%s refused the request: %s", to.GetName(), clip(body))
	default:
		body := string(response.Body())
		protocol.ReleaseResponse(response)
		return nil, result.New(result.UpstreamFailed, "%s answered %d: %s", to.GetName(), status, clip(body))
	}
}

// send sends a request and returns as soon as the answer's head is there or ctx
// ends. The library heeds no context once it has begun, so a caller that leaves
// would hold its tokens until an engine that hangs is given up on.
func send(ctx context.Context, by *client.Client, request *protocol.Request) (*protocol.Response, error) {
	sent := make(chan sentResult, 1)
	go func() {
		response := protocol.AcquireResponse()
		err := by.Do(ctx, request, response)
		protocol.ReleaseRequest(request)
		if err != nil {
			protocol.ReleaseResponse(response)
			response = nil
		}
		sent <- sentResult{response, err}
	}()
	select {
	case done := <-sent:
		return done.response, done.err
	case <-ctx.Done():
		go func() {
			if late := <-sent; late.response != nil {
				_ = late.response.CloseBodyStream()
				protocol.ReleaseResponse(late.response)
			}
		}()
		return nil, errors.Trace(ctx.Err())
	}
}

type sentResult struct {
	response *protocol.Response
	err      error
}

// Call implements Client.
func (c *HTTPClient) Call(ctx context.Context, to *operatorv1.Upstream, r CallRequest) (CallResponse, error) {
	request := protocol.AcquireRequest()
	request.SetMethod(r.Method)
	request.SetRequestURI("http://" + to.GetAddress() + r.Path)
	for name, value := range r.Headers {
		request.Header.Set(name, value)
	}
	request.Header.Set(HeaderRequestID, r.ID)
	request.SetBody(r.Body)
	setNotAfter(request, r.NotAfter)
	by := c.client
	if r.NoResend {
		by = c.once
	}
	response, err := send(ctx, by, request)
	if err != nil {
		return CallResponse{}, sendError(to, err)
	}
	defer protocol.ReleaseResponse(response)
	if late := expired(to, response, r.NotAfter); late != nil {
		return CallResponse{}, late
	}
	body, err := readAnswer(response)
	if err != nil {
		return CallResponse{}, result.New(result.AnswerCut, "%s: %v", to.GetName(), err)
	}
	if echoed := response.Header.Get(HeaderRequestID); echoed != r.ID {
		return CallResponse{}, result.New(result.AnswerCrossed, "%s answered for %q", to.GetName(), echoed)
	}
	return CallResponse{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        body,
	}, nil
}

// readAnswer reads a whole answer of bounded size: it is held in memory and passed
// between nodes.
func readAnswer(response *protocol.Response) ([]byte, error) {
	if !response.IsBodyStream() {
		return append([]byte(nil), response.Body()...), nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("the answer has more than %d bytes", maxAnswer)
	}
	return body, err
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	_, err := c.Call(ctx, to, CallRequest{ID: id, Method: "POST", Path: "/v1/cancel"})
	return err
}

// Usage implements Client.
func (c *HTTPClient) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error) {
	answer, err := c.Call(ctx, to, CallRequest{ID: id, Method: "GET", Path: "/v1/usage"})
	if err != nil {
		return UsageReport{}, err
	}
	var report UsageReport
	if err := json.Unmarshal(answer.Body, &report); err != nil {
		return UsageReport{}, result.New(result.UpstreamFailed, "%s: usage: %v", to.GetName(), err)
	}
	return report, nil
}

// sendError tells apart an upstream that was never reached from one that may have
// got the request. A refused or timed-out dial proves that nothing ran; any later
// error proves nothing.
func sendError(to *operatorv1.Upstream, err error) error {
	if errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return result.New(result.NoUpstream, "%s has no connection left", to.GetName())
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.NoUpstream, "%s can't be reached: %v", to.GetName(), err)
	}
	return result.New(result.UpstreamFailed, "%s: %v", to.GetName(), err)
}

const clipLength = 200

func clip(text string) string {
	if len(text) > clipLength {
		return text[:clipLength]
	}
	return text
}
