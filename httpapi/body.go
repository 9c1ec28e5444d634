package httpapi

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/result"
)

// readBody reads a caller's body. The server hands bodies over as streams, so that
// one that is too large gets its numbered answer at once, before it is sent whole.
// The connection ends then, since what is left of the body would be read as the next
// request.
func readBody(c *app.RequestContext) ([]byte, error) {
	announced := c.Request.Header.ContentLength()
	if announced > request.MaxBody {
		return nil, tooLarge(c)
	}
	if announced == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), request.MaxBody+1))
	if err != nil {
		c.Response.SetConnectionClose()
		return nil, result.New(result.MalformedRequest, "the body ended early: %v", err)
	}
	if len(body) > request.MaxBody {
		return nil, tooLarge(c)
	}
	return body, nil
}

func tooLarge(c *app.RequestContext) error {
	c.Response.SetConnectionClose()
	return result.New(result.BodyTooLarge, "the body has more than %d bytes", request.MaxBody)
}
