package event

// RetryAfterField is the name of the field with the time after which a refused caller was
// told to retry.
const RetryAfterField = "retry_after"

// Request events.
const (
	OverloadBegan     Number = 450
	OverloadEnded     Number = 451
	RequestsReadLate  Number = 452
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
	StreamLeft        Number = 418
	StreamTakenUp     Number = 419
)

var requestKinds = map[Number]Kind{
	OverloadBegan:     {"OverloadBegan", "Requests of a service have been queued on this node without a break; queueing time is kept short now."},
	OverloadEnded:     {"OverloadEnded", "This node no longer refuses requests of a service for lack of capacity."},
	RequestsReadLate:  {"RequestsReadLate", "Since the last such line, this many requests waited long to be read after they had arrived, since the node is short of processor time; it is written at most once a second."},
	RequestAdmitted:   {"RequestAdmitted", "Tokens are reserved for a request."},
	RequestRefused:    {"RequestRefused", "A request was refused; the code tells why."},
	RequestDispatched: {"RequestDispatched", "A request was sent to an upstream; version is that of its software, began_version that of the upstream which began the response, resumes the attempt that began the stream; content and crashes tell that upstreams had crashed under the request, as far as this node knew."},
	RequestFinished:   {"RequestFinished", "The caller got the complete response."},
	RequestFailed:     {"RequestFailed", "A request failed after it was sent."},
	RequestSettled:    {"RequestSettled", "The settlement of a request is in the log."},
	CallerLeft:        {"CallerLeft", "The caller disconnected before the response was complete; unhandled is set if the node saw it on the connection before it had read the close."},
	CallClaimed:       {"CallClaimed", "The log gave this node the idempotency key of a call."},
	CallForwarded:     {"CallForwarded", "A call was forwarded to the node that owns its key or ticket."},
	StreamResumed:     {"StreamResumed", "A caller resumed on this node a stream that another node began."},
	StreamMoved:       {"StreamMoved", "The caller of a stream resumed it on another node; this one still settles it."},
	StreamLeft:        {"StreamLeft", "This node ended while a caller read a resumed stream; the caller can read on through another node."},
	StreamTakenUp:     {"StreamTakenUp", "A caller took up a stream after its first events; version is the one that began it, and source how this node knows it."},
	AttemptRetried:    {"AttemptRetried", "A request is retried on another upstream."},
	RetryDenied:       {"RetryDenied", "A request is not retried: the node's retry budget is exhausted, or the node ends too soon."},
	RequestEnded:      {"RequestEnded", "A request ended; outcome tells how, and used what its account is billed."},
	AnswerRerun:       {"AnswerRerun", "An engine was lost during a response; another one repeats the response from the start."},
}
