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
	// A caller that isn't told when to come back comes back at once, and a fleet that
	// is short of something gets more load just then.
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
	var answer errorAnswer
	is.NoErr(json.Unmarshal(c.Response.Body(), &answer))
	is.Equal(answer.Error.RetryAfterMS, int64(1000)) // also where nobody named a time
	is.True(!answer.Error.NotRun)
}
