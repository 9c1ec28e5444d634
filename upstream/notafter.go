package upstream

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// HeaderNotAfter tells when the right to have a request run ends, in Unix
	// milliseconds. A process can be stopped, or the network can hold its bytes, between
	// its last check of that right and the request's arrival: only the upstream can tell
	// then that the request is late.
	HeaderNotAfter = "X-Request-Not-After"
	// HeaderExpired marks an upstream's refusal of a late request. A service may answer
	// with the same status for reasons of its own.
	HeaderExpired = "X-Request-Expired"
)

// setNotAfter tells an upstream when a request is too late.
func setNotAfter(request *protocol.Request, notAfter time.Time) {
	if !notAfter.IsZero() {
		request.Header.Set(HeaderNotAfter, strconv.FormatInt(notAfter.UnixMilli(), 10))
	}
}

// expired returns the error for an upstream's refusal of a late request; nil for any
// other answer. A refusal before the time has come shows that the upstream's clock is
// ahead: it then counts as out of reach, so that others are tried.
func expired(to *operatorv1.Upstream, response *protocol.Response, notAfter time.Time) error {
	if response.StatusCode() != statusExpired || response.Header.Get(HeaderExpired) == "" {
		return nil
	}
	if early := time.Until(notAfter); early > 0 {
		return result.New(result.NoUpstream, "%s refuses as late what may run for %s more: its clock is ahead", to.GetName(), early.Round(time.Millisecond))
	}
	return result.New(result.RequestExpired, "the request reached %s too late", to.GetName())
}
