package upstream

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Status codes with special handling.
const (
	statusOK            = 200
	statusBadRequest    = 400
	statusNotFound      = 404
	statusExpired       = 408
	statusGone          = 410
	statusUnprocessable = 422
	statusUnavailable   = 503
)

const (
	dialTimeout = 2 * time.Second
	// readTimeout bounds the time without data within a response: an engine that hangs is
	// abandoned even if its connection stays open.
	readTimeout     = 30 * time.Second
	maxConnsPerHost = 4096
	idleConnTimeout = 30 * time.Second
	// maxResponseBytes bounds the response of a plain service.
	maxResponseBytes = 8 << 20
)

// HeaderRequestID carries the request ID; upstreams must echo it.
const HeaderRequestID = "X-Request-Id"

// HTTPClient implements Client.
type HTTPClient struct {
	pooled *client.Client
	// unpooled opens a new connection for each call. On pooled connections the library resends
	// PUT and DELETE by itself if the connection turns out to be closed, although the upstream
	// may have run the first one: a work order would be filed twice. And a POST on a pooled
	// connection that the upstream closed while idle would end as "outcome unknown".
	unpooled *client.Client
	// bodies holds the responses of plain services while they come.
	bodies *bodybuffer.Pool
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool, whose connections dial opens.
func NewHTTPClient(dial tcpconn.DialFunc) (*HTTPClient, error) {
	return NewHTTPClientWithReadTimeout(dial, readTimeout)
}

// NewHTTPClientWithReadTimeout returns a client that abandons an upstream that sends no data
// for the given time within a response.
func NewHTTPClientWithReadTimeout(dial tcpconn.DialFunc, timeout time.Duration) (*HTTPClient, error) {
	keepAlive, err := newClient(dial, client.WithClientReadTimeout(timeout))
	if err != nil {
		return nil, errors.Annotate(err, "create upstream HTTP client")
	}
	unpooled, err := newClient(dial, client.WithClientReadTimeout(timeout), client.WithKeepAlive(false))
	if err != nil {
		return nil, errors.Annotate(err, "create upstream HTTP client")
	}
	return &HTTPClient{pooled: keepAlive, unpooled: unpooled, bodies: bodybuffer.NewPool(bodybuffer.DefaultBytes)}, nil
}

func newClient(dial tcpconn.DialFunc, options ...config.ClientOption) (*client.Client, error) {
	return client.NewClient(append([]config.ClientOption{
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConnsPerHost),
		client.WithMaxIdleConnDuration(idleConnTimeout),
		client.WithResponseBodyStream(true),
		client.WithDialer(dialer{dial}),
	}, options...)...)
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.pooled.CloseIdleConnections() }

// Chat implements Client.
func (c *HTTPClient) Chat(ctx context.Context, to *operatorv1.Upstream, r ChatRequest) (ChatStream, error) {
	request := protocol.AcquireRequest()
	request.SetMethod("POST")
	request.SetRequestURI("http://" + to.GetAddress() + "/v1/chat/completions")
	request.Header.SetContentTypeBytes([]byte("application/json"))
	request.Header.Set(HeaderRequestID, r.ID)
	request.SetBody(r.Body)
	setNotAfter(request, r.NotAfter)
	return c.stream(ctx, to, request, streamParams{id: r.ID, notAfter: r.NotAfter})
}

// streamParams describes a request that is answered with an event stream.
type streamParams struct {
	id string
	// from is the number of the first chunk requested.
	from     uint64
	notAfter time.Time
}

// stream sends a request that is answered with an event stream; it takes ownership of the
// request.
func (c *HTTPClient) stream(ctx context.Context, to *operatorv1.Upstream, request *protocol.Request, params streamParams) (ChatStream, error) {
	response, err := send(ctx, c.pooled, to, request)
	if err != nil {
		return nil, sendError(to, err)
	}
	if crossed := crossedError(to, response, params.id); crossed != nil {
		discard(ctx, response)
		return nil, crossed
	}
	if lateErr := expiredError(to, response, params.notAfter); lateErr != nil {
		discard(ctx, response)
		return nil, lateErr
	}
	switch status := response.StatusCode(); status {
	case statusOK:
		return newHTTPStream(ctx, to.GetName(), params.id, params.from, response)
	case statusNotFound, statusGone:
		discard(ctx, response)
		return nil, result.New(result.StreamLost, "%s doesn't hold the stream", to.GetName())
	case statusBadRequest, statusUnprocessable:
		body := readErrorBody(ctx, response)
		protocol.ReleaseResponse(response)
		return nil, result.New(result.MalformedRequest, "%s refused the request: %s", to.GetName(), body)
	default:
		body, pause := readErrorBody(ctx, response), pauseOf(response)
		protocol.ReleaseResponse(response)
		return nil, result.New(result.UpstreamFailed, "%s answered %d: %s", to.GetName(), status, body).WithPause(pause)
	}
}

// send sends a request and returns as soon as the response header has arrived or ctx ends. The
// library ignores the context once it has started, so the tokens of a caller that disconnects
// would stay reserved until a hanging engine times out.
func send(ctx context.Context, httpClient *client.Client, to *operatorv1.Upstream, request *protocol.Request) (*protocol.Response, error) {
	results := make(chan sendResult, 1)
	go func() {
		response := protocol.AcquireResponse()
		err := httpClient.Do(ctx, request, response)
		for errors.Is(err, errStaleConn) { // nothing was sent; a pool may hold more of them
			err = httpClient.Do(ctx, request, response)
		}
		protocol.ReleaseRequest(request)
		if err != nil {
			protocol.ReleaseResponse(response)
			response = nil
		} else {
			// Here, as a response also counts whose caller no longer waits for it.
			Report(ctx, to, noticeOf(response))
		}
		results <- sendResult{response, err}
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		go func() {
			if late := <-results; late.response != nil {
				discard(ctx, late.response)
			}
		}()
		return nil, errors.Trace(ctx.Err())
	}
}

type sendResult struct {
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
	httpClient := c.pooled
	if r.NoResend {
		httpClient = c.unpooled
	}
	response, err := send(ctx, httpClient, to, request)
	if err != nil {
		return CallResponse{}, sendError(to, err)
	}
	defer discard(ctx, response)
	if crossed := crossedError(to, response, r.ID); crossed != nil {
		return CallResponse{}, crossed
	}
	if lateErr := expiredError(to, response, r.NotAfter); lateErr != nil {
		return CallResponse{}, lateErr
	}
	body, err := readResponse(ctx, response, c.bodies, maxResponseBytes)
	if err != nil {
		return CallResponse{}, result.New(result.AnswerCut, "%s: %v", to.GetName(), err).WithConnectionLost()
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

// errNoMemory is returned for an answer for which no memory is left.
var errNoMemory = errors.New("no memory is left for the answer")

// readResponse reads a complete response of bounded size: it is held in memory and passed between nodes. When ctx ends, or the
// response is longer, the connection is closed: what is left of it may have no end.
func readResponse(ctx context.Context, response *protocol.Response, bodies *bodybuffer.Pool, limit int) ([]byte, error) {
	if !response.IsBodyStream() {
		return append([]byte(nil), response.Body()...), nil
	}
	stopWatching := disconnectAfter(ctx, response)
	read, err := bodies.Read(response.BodyStream(), limit+1)
	body := read.Bytes
	read.Release() // only what is still being read counts
	switch {
	case err == nil && read.Short:
		err = errNoMemory
	case err == nil && len(body) > limit:
		err = errors.Errorf("the answer has more than %d bytes", limit)
	}
	if stopWatching() && err == nil {
		err = errors.Trace(ctx.Err())
	}
	if err != nil {
		disconnect(response)
		return body[:min(len(body), limit)], err
	}
	return body, errors.Trace(response.CloseBodyStream())
}

// maxSkippedBytes bounds, in bytes, what is read of a response that isn't needed so that its connection can be used again.
// The messages of errors are shorter.
const maxSkippedBytes = bodybuffer.FreeBytes - 1

// noBodies is for responses of which no more is read than takes no memory of a pool.
var noBodies = bodybuffer.NewPool(0)

// discard releases a response. Its connection is closed if more of it is left than may be skipped: that may have no end.
func discard(ctx context.Context, response *protocol.Response) {
	_, _ = readResponse(ctx, response, noBodies, maxSkippedBytes) // an error has closed the connection
	protocol.ReleaseResponse(response)
}

// readErrorBody reads the beginning of the body of an error response, for the message.
func readErrorBody(ctx context.Context, response *protocol.Response) string {
	body, _ := readResponse(ctx, response, noBodies, maxErrorBodyLength) // what was read will do
	return string(body)
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, to *operatorv1.Upstream, id string) error {
	_, err := c.Call(ctx, to, CallRequest{ID: id, Method: "POST", Path: "/v1/cancel"})
	return err
}

// Usage implements Client.
func (c *HTTPClient) Usage(ctx context.Context, to *operatorv1.Upstream, id string) (UsageReport, error) {
	response, err := c.Call(ctx, to, CallRequest{ID: id, Method: "GET", Path: "/v1/usage"})
	if err != nil {
		return UsageReport{}, err
	}
	var report UsageReport
	if err := json.Unmarshal(response.Body, &report); err != nil {
		return UsageReport{}, result.New(result.UpstreamFailed, "%s: usage: %v", to.GetName(), err)
	}
	return report, nil
}

// crossedError returns the error for a response that names another request, or nil for any other. The connection is closed: the
// response to this request may follow, and would be taken for that to the next.
func crossedError(to *operatorv1.Upstream, response *protocol.Response, id string) error {
	echoed := response.Header.Get(HeaderRequestID)
	if echoed == "" || echoed == id {
		return nil
	}
	disconnect(response)
	return result.New(result.AnswerCrossed, "%s answered for %q", to.GetName(), echoed)
}

// sendError distinguishes an upstream that was never reached from one that may have received
// the request. A refused or timed-out dial proves that nothing ran; a later error proves
// nothing.
func sendError(to *operatorv1.Upstream, err error) error {
	if errors.Is(err, hertzerrors.ErrNoFreeConns) {
		return result.New(result.NoUpstream, "%s has no connection left", to.GetName()).WithUnconnected()
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		unreachable := result.New(result.NoUpstream, "%s can't be reached: %v", to.GetName(), err).WithUnconnected()
		if errors.Is(err, reach.ErrIsolated) {
			return unreachable.WithNodeIsolated()
		}
		return unreachable
	}
	failed := result.New(result.UpstreamFailed, "%s: %v", to.GetName(), err)
	if errors.Is(err, httpwire.ErrInvalidStatus) {
		return failed // the connection held
	}
	return failed.WithConnectionLost()
}

// maxErrorBodyLength bounds, in bytes, what of an error response goes into the message.
const maxErrorBodyLength = 200
