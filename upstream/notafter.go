package upstream

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// HeaderNotAfter carries the time when the right to have a request run ends, in Unix
	// milliseconds. A process can be paused, or the network can delay its data, between the
	// last check of that right and the request's arrival: only the upstream can then detect
	// that the request is late.
	HeaderNotAfter = "X-Request-Not-After"
	// HeaderExpired marks an upstream's refusal of a late request. A service may use the same
	// status code for reasons of its own.
	HeaderExpired = "X-Request-Expired"
)

// setNotAfter sets the header with the time after which an upstream must refuse the request.
func setNotAfter(request *protocol.Request, notAfter time.Time) {
	if !notAfter.IsZero() {
		request.Header.Set(HeaderNotAfter, strconv.FormatInt(notAfter.UnixMilli(), 10))
	}
}

// expiredError returns the error for an upstream's refusal of a late request, or nil for any
// other response. A refusal before that time shows that the upstream's clock is ahead: the
// upstream then counts as unreachable, so that others are tried.
func expiredError(to *operatorv1.Upstream, response *protocol.Response, notAfter time.Time) error {
	if response.StatusCode() != statusExpired || response.Header.Get(HeaderExpired) == "" {
		return nil
	}
	if remaining := time.Until(notAfter); remaining > 0 {
		return result.New(result.NoUpstream, "%s refuses as late what may run for %s more: its clock is ahead", to.GetName(), remaining.Round(time.Millisecond))
	}
	return result.New(result.RequestExpired, "the request reached %s too late", to.GetName())
}
