package httpapi

import (
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/result"
)

// errorBody is the JSON encoding of a result error.
type errorBody struct {
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	Retry        bool   `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Request is the request id, as "lavenderctl explain" takes it.
	Request string `json:"request,omitempty"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

func newErrorResponse(err error) errorResponse {
	known := result.From(err)
	info := known.Code.Info()
	return errorResponse{errorBody{
		Code: uint32(known.Code), Name: info.Name, Message: known.Message, NotRun: known.NotRun(),
		Retry: info.Retry, RetryAfterMS: retryAfter(known).Milliseconds(),
		Request: known.Request,
	}}
}

// defaultRetryAfter is sent if a retry can help and the error sets no delay.
const defaultRetryAfter = time.Second

// retryAfter returns the delay before a retry; zero if a retry can't help.
func retryAfter(err *result.Error) time.Duration {
	if !err.Code.Info().Retry {
		return 0
	}
	if err.RetryAfter <= 0 {
		return defaultRetryAfter
	}
	return err.RetryAfter
}

func writeError(c *app.RequestContext, err error) {
	known := result.From(err)
	info := known.Code.Info()
	if delay := retryAfter(known); delay > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
	if known.Request != "" {
		c.Header(headerRequestID, known.Request)
	}
	c.JSON(info.HTTP, newErrorResponse(err))
}
