package httpapi

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
)

// readBody reads a caller's body. The server passes bodies as streams, so that an oversized
// body is rejected at once, before all of it is sent. The connection is closed then, since
// the rest of the body would be read as the next request.
func readBody(c *app.RequestContext) ([]byte, error) {
	contentLength := c.Request.Header.ContentLength()
	if contentLength > request.MaxBody {
		return nil, bodyTooLarge(c)
	}
	if contentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), request.MaxBody+1))
	if err != nil {
		c.Response.SetConnectionClose()
		return nil, result.New(result.MalformedRequest, "the body ended early: %v", err)
	}
	if len(body) > request.MaxBody {
		return nil, bodyTooLarge(c)
	}
	return body, nil
}

func bodyTooLarge(c *app.RequestContext) error {
	c.Response.SetConnectionClose()
	return result.New(result.BodyTooLarge, "the body has more than %d bytes", request.MaxBody)
}
