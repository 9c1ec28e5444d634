package httpapi

import (
	"math"
	"strconv"

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
}

type errorAnswer struct {
	Error errorBody `json:"error"`
}

func toErrorAnswer(err error) errorAnswer {
	known := result.From(err)
	info := known.Code.Info()
	return errorAnswer{errorBody{
		Code: uint32(known.Code), Name: info.Name, Message: known.Message, NotRun: known.NotRun(),
		Retry: info.Retry, RetryAfterMS: known.RetryAfter.Milliseconds(),
	}}
}

// defaultRetrySeconds is sent where a retry can help and nothing better is known.
const defaultRetrySeconds = 1

func writeError(c *app.RequestContext, err error) {
	known := result.From(err)
	info := known.Code.Info()
	if info.Retry {
		seconds := max(defaultRetrySeconds, int(math.Ceil(known.RetryAfter.Seconds())))
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(info.HTTP, toErrorAnswer(err))
}
