package httpapi

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/result"
)

func TestErrorsCarryRetryAfter(t *testing.T) {
	// A caller that gets no retry delay retries at once, which adds load to a fleet that is
	// already short of a resource.
	is := is.New(t)
	for code, info := range result.All() {
		if code == result.OK {
			continue
		}
		c := app.NewContext(0)
		writeError(c, result.New(code, "why").WithRetryAfter(1500*time.Millisecond))
		want := ""
		if info.Retry {
			want = "2"
		}
		is.Equal(c.Response.Header.Get("Retry-After"), want)
		is.Equal(c.Response.StatusCode(), info.HTTP)
	}
	c := app.NewContext(0)
	writeError(c, result.New(result.NoUpstream, "why").WithMayHaveRun())
	var answer errorResponse
	is.NoErr(json.Unmarshal(c.Response.Body(), &answer))
	is.Equal(answer.Error.RetryAfterMS, int64(1000)) // also if the error sets no delay
	is.True(!answer.Error.NotRun)
}
