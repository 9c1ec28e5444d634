package httpapi

import (
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"lavenderpin.dev/lavenderpin/result"
)

// errorBody is how a result error reads over HTTP.
type errorBody struct {
	Code         uint32 `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	Retry        bool   `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Request is what "lavenderctl explain" takes.
	Request string `json:"request,omitempty"`
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func toErrorAnswer(err error) errorAnswer {
	known := result.From(err)
	info := known.Code.Info()
	return errorAnswer{errorBody{
		Code: uint32(known.Code), Name: info.Name, Message: known.Message, NotRun: known.NotRun(),
		Retry: info.Retry, RetryAfterMS: retryAfter(known).Milliseconds(),
		Request: known.Request,
	}}
}

// defaultRetry is sent where a retry can help and nothing better is known.
const defaultRetry = time.Second

// retryAfter returns when to come back; zero where a retry can't help.
func retryAfter(err *result.Error) time.Duration {
	if !err.Code.Info().Retry {
		return 0
	}
	if err.RetryAfter <= 0 {
		return defaultRetry
	}
	return err.RetryAfter
}

func writeError(c *app.RequestContext, err error) {
	known := result.From(err)
	info := known.Code.Info()
	if wait := retryAfter(known); wait > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if known.Request != "" {
		c.Header(headerRequestID, known.Request)
	}
	c.JSON(info.HTTP, toErrorAnswer(err))
}
