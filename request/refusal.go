package request

import (
	"strconv"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// refusalIDSeparator precedes the number in the id of a refused request, so that it can't be
// confused with the id of an admitted one.
const refusalIDSeparator = ".r"

// recordRefusal records a refusal and returns the error with a new id. Nothing was reserved,
// so the request has no id yet, and without one nobody could look up why it was refused.
func (s *Server) recordRefusal(account string, err error) error {
	if err == nil {
		return nil
	}
	refusal := result.From(err)
	if refusal.Request != "" {
		return refusal
	}
	refusal = refusal.WithRequest(s.Events.Node() + refusalIDSeparator + strconv.FormatUint(s.refusals.Add(1), 10))
	fields := []any{"request", refusal.Request, "account", account, "code", uint32(refusal.Code), "why", refusal.Message}
	if refusal.RetryAfter > 0 {
		fields = append(fields, event.RetryAfterField, refusal.RetryAfter)
	}
	s.Events.Record(event.RequestRefused, fields...)
	return refusal
}

// RecordRefusal records that this node accepts no requests and returns the error with an id for
// the caller to look it up.
func (s *Server) RecordRefusal(err error) error { return s.recordRefusal("", err) }

// withRequestID adds the id of an admitted request to its error; nil stays nil.
func withRequestID(request string, err error) error {
	if err == nil {
		return nil
	}
	return result.From(err).WithRequest(request)
}
