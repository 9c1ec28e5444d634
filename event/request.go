package event

// RetryAfterField holds when a refused caller was told to come back.
const RetryAfterField = "retry_after"

// Events of requests.
const (
	OverloadBegan     Number = 450
	OverloadEnded     Number = 451
	RequestAdmitted   Number = 401
	RequestRefused    Number = 402
	RequestDispatched Number = 403
	RequestFinished   Number = 404
	RequestFailed     Number = 405
	RequestSettled    Number = 406
	CallerLeft        Number = 407
	CallClaimed       Number = 410
	CallForwarded     Number = 411
	StreamResumed     Number = 412
	StreamMoved       Number = 413
	AttemptRetried    Number = 414
	RetryDenied       Number = 415
	AnswerRerun       Number = 416
	RequestEnded      Number = 417
)

var requestKinds = map[Number]Kind{
	OverloadBegan:     {"OverloadBegan", "Requests of a service have waited on this node without a break; waits are kept short now."},
	OverloadEnded:     {"OverloadEnded", "A service refuses nothing for want of room any more on this node."},
	RequestAdmitted:   {"RequestAdmitted", "Tokens are reserved for a request."},
	RequestRefused:    {"RequestRefused", "A request was refused; the code tells why."},
	RequestDispatched: {"RequestDispatched", "A request was sent to an upstream."},
	RequestFinished:   {"RequestFinished", "The caller got the whole answer."},
	RequestFailed:     {"RequestFailed", "A request failed after it was sent."},
	RequestSettled:    {"RequestSettled", "The settlement of a request is in the log."},
	CallerLeft:        {"CallerLeft", "The caller left before the answer was complete."},
	CallClaimed:       {"CallClaimed", "The log gave this node the idempotency key of a call."},
	CallForwarded:     {"CallForwarded", "A call was passed on to the node that owns its key or ticket."},
	StreamResumed:     {"StreamResumed", "A caller reads on at this node from a stream that another began."},
	StreamMoved:       {"StreamMoved", "The caller of a stream reads on at another node; this one still settles."},
	AttemptRetried:    {"AttemptRetried", "A request is sent again to another upstream."},
	RetryDenied:       {"RetryDenied", "A request is not sent again: the node's retry budget is spent."},
	RequestEnded:      {"RequestEnded", "A request ended; the outcome tells how, and used what its account pays."},
	AnswerRerun:       {"AnswerRerun", "An engine was lost within an answer; another one repeats it from the start."},
}
