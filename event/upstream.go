package event

// Events of upstreams.
const (
	UpstreamUnhealthy Number = 501
	UpstreamHealthy   Number = 502
	AnswerRejected    Number = 503
)

var upstreamKinds = map[Number]Kind{
	UpstreamUnhealthy: {"UpstreamUnhealthy", "An upstream gets no new work."},
	UpstreamHealthy:   {"UpstreamHealthy", "An upstream gets new work again."},
	AnswerRejected:    {"AnswerRejected", "An upstream's answer was cut or for another request."},
}
