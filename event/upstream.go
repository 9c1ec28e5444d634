package event

// Events of upstreams.
const (
	UpstreamUnhealthy  Number = 501
	UpstreamHealthy    Number = 502
	AnswerRejected     Number = 503
	TokenBoundExceeded Number = 504
	UpstreamListed     Number = 505
	UpstreamProbed     Number = 520
)

var upstreamKinds = map[Number]Kind{
	UpstreamUnhealthy:  {"UpstreamUnhealthy", "An upstream gets no new work."},
	UpstreamHealthy:    {"UpstreamHealthy", "An upstream gets new work again."},
	UpstreamProbed:     {"UpstreamProbed", "An upstream that got no new work is tried with one request at a time."},
	UpstreamListed:     {"UpstreamListed", "The list of upstreams changed for this node: one joined or left, or all were read again."},
	TokenBoundExceeded: {"TokenBoundExceeded", "An engine counted more tokens than its service declares; this node uses the bound by bytes until the declaration is changed."},
	AnswerRejected:     {"AnswerRejected", "An upstream's answer was cut or for another request."},
}
