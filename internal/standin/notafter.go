package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// rejectExpired rejects a request that arrives after its not-after time, at which its sender's
// right to have it run ends.
func rejectExpired(ctx context.Context, c *app.RequestContext) {
	limit, err := strconv.ParseInt(string(c.GetHeader("X-Request-Not-After")), 10, 64)
	if err != nil || time.Now().UnixMilli() <= limit {
		c.Next(ctx)
		return
	}
	c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	c.Header("X-Request-Expired", "true")
	c.String(http.StatusRequestTimeout, "too late")
	c.Abort()
}
