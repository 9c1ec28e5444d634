package httpapi

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
)

// Header names of the API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTicket         = "X-Call-Ticket"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "X-Request-Id"
)

const servicePrefix = "/s/"

// parseServiceCall reads a call of a plain service from the request.
func parseServiceCall(c *app.RequestContext, timeout time.Duration) (request.ServiceCall, error) {
	path, err := servicePath(c)
	if err != nil {
		return request.ServiceCall{}, err
	}
	body, err := readBody(c)
	if err != nil {
		return request.ServiceCall{}, err
	}
	return request.ServiceCall{
		Key: bearerToken(c), Service: c.Param("service"), Method: string(c.Method()), Path: path,
		Headers: forwardedHeaders(c), Body: body,
		IdempotencyKey: string(c.GetHeader(headerIdempotencyKey)), Ticket: string(c.GetHeader(headerTicket)),
		Timeout: timeout,
	}, nil
}

// servicePath returns the path after the service's name, as the caller sent it. The router
// matches a path with its dot segments resolved; if that names another service than the
// caller wrote, the call is rejected.
func servicePath(c *app.RequestContext) (string, error) {
	original := c.Request.URI().PathOriginal()
	rest, found := bytes.CutPrefix(original, []byte(servicePrefix))
	service, path, _ := bytes.Cut(rest, []byte("/"))
	if !found || string(service) != c.Param("service") {
		return "", result.New(result.InvalidPath, "the path isn't in its plain form")
	}
	whole := "/" + string(path)
	if query := c.Request.URI().QueryString(); len(query) > 0 {
		whole += "?" + string(query)
	}
	return whole, nil
}

// forwardedHeaders returns the headers that are passed to a plain service.
func forwardedHeaders(c *app.RequestContext) map[string]string {
	headers := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept"} {
		if value := string(c.GetHeader(name)); value != "" {
			headers[name] = value
		}
	}
	return headers
}

// parseTimeout reads the caller's timeout; 0 for none.
func parseTimeout(c *app.RequestContext) (time.Duration, error) {
	text := string(c.GetHeader(headerTimeout))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, result.New(result.MalformedRequest, "%s isn't a number of milliseconds", headerTimeout)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
