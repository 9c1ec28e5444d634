package request

import (
	"strconv"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// refusalMark stands before the number in the id of a request that was refused, so
// that it is never taken for the id of one that was admitted.
const refusalMark = ".r"

// refused records a refusal and passes it on under an id of its own. Nothing was
// reserved, so the request has no id yet; without one nobody could ask afterwards why
// it was refused.
func (s *Server) refused(account string, err error) error {
	if err == nil {
		return nil
	}
	known := result.From(err)
	if known.Request != "" {
		return known
	}
	known = known.WithRequest(s.Events.Node() + refusalMark + strconv.FormatUint(s.refusals.Add(1), 10))
	fields := []any{"request", known.Request, "account", account, "code", uint32(known.Code), "why", known.Message}
	if known.RetryAfter > 0 {
		fields = append(fields, event.RetryAfterField, known.RetryAfter)
	}
	s.Events.Record(event.RequestRefused, fields...)
	return known
}

// named returns the error of an admitted request with its id; nil stays nil.
func named(request string, err error) error {
	if err == nil {
		return nil
	}
	return result.From(err).WithRequest(request)
}
