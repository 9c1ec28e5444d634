package event

// Events of requests.
const (
	RequestAdmitted   Number = 401
	RequestRefused    Number = 402
	RequestDispatched Number = 403
	RequestFinished   Number = 404
	RequestFailed     Number = 405
	RequestSettled    Number = 406
	CallerLeft        Number = 407
)

var requestKinds = map[Number]Kind{
	RequestAdmitted:   {"RequestAdmitted", "Tokens are reserved for a request."},
	RequestRefused:    {"RequestRefused", "A request was refused; the code tells why."},
	RequestDispatched: {"RequestDispatched", "A request was sent to an upstream."},
	RequestFinished:   {"RequestFinished", "The caller got the whole answer."},
	RequestFailed:     {"RequestFailed", "A request failed after it was sent."},
	RequestSettled:    {"RequestSettled", "The settlement of a request is in the log."},
	CallerLeft:        {"CallerLeft", "The caller left before the answer was complete."},
}
