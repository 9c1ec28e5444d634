package result

import "google.golang.org/grpc/codes"

// Codes for upstream and admission errors.
const (
	NoUpstream        Code = 4001
	UpstreamFailed    Code = 4002
	AnswerCut         Code = 4003
	AnswerCrossed     Code = 4004
	OutcomeUnknown    Code = 4005
	Overloaded        Code = 4006
	DeadlineExceeded  Code = 4007
	StreamLost        Code = 4010
	AnswerDiffers     Code = 4011
	UpstreamSilent    Code = 4012
	RequestExpired    Code = 4013
	VersionUnknown    Code = 4014
	VersionMissing    Code = 4015
	ReadLate          Code = 4016
	AtLimit           Code = 4017
	CrashesUpstreams  Code = 4018
	PartBlocked       Code = 4019
	SentElsewhere     Code = 4020
	RegionUnavailable Code = 4021
)

var upstreamInfos = map[Code]Info{
	NoUpstream:        {"NoUpstream", 503, codes.Unavailable, true, true, "No upstream of the service is in reach and healthy."},
	UpstreamFailed:    {"UpstreamFailed", 502, codes.Unavailable, true, false, "The upstream failed the request and no retry was allowed or left."},
	AnswerCut:         {"AnswerCut", 502, codes.Unavailable, true, false, "The upstream's answer ended before its terminal marker."},
	AnswerCrossed:     {"AnswerCrossed", 502, codes.Unavailable, true, false, "The upstream answered for another request; nothing of it was passed on."},
	OutcomeUnknown:    {"OutcomeUnknown", 502, codes.Unknown, false, false, "A non-idempotent call was sent and its outcome is not known; it will not be run again."},
	Overloaded:        {"Overloaded", 429, codes.ResourceExhausted, true, true, "The service can't answer in time now; come back after the given time."},
	DeadlineExceeded:  {"DeadlineExceeded", 504, codes.DeadlineExceeded, true, false, "The request's deadline passed before it was complete."},
	StreamLost:        {"StreamLost", 502, codes.DataLoss, false, false, "The engine no longer holds the rest of the stream; send a new request."},
	AnswerDiffers:     {"AnswerDiffers", 502, codes.Aborted, false, false, "The engine was lost within the answer, and another one answers differently; send a new request."},
	UpstreamSilent:    {"UpstreamSilent", 504, codes.Unavailable, true, false, "The engine went silent within an answer and was given up on."},
	VersionUnknown:    {"VersionUnknown", 503, codes.Unavailable, true, true, "This node can't learn which version of the upstreams' software began the stream, and others don't fit; another node may know."},
	VersionMissing:    {"VersionMissing", 503, codes.Unavailable, true, true, "No upstream of the software version that began the stream can take it now; others don't fit."},
	ReadLate:          {"ReadLate", 503, codes.Unavailable, true, true, "The time for the request was over before this node, short of processor time, had read it; another may serve it."},
	AtLimit:           {"AtLimit", 429, codes.ResourceExhausted, true, true, "Every upstream of the service that is left gets as many requests a second as it says it takes; come back after the given time."},
	CrashesUpstreams:  {"CrashesUpstreams", 400, codes.FailedPrecondition, false, false, "Three upstreams crashed while they worked on the request, in this attempt or in earlier ones; it isn't sent again, and a retry doesn't help."},
	PartBlocked:       {"PartBlocked", 400, codes.FailedPrecondition, false, true, "Upstreams crashed one after the other under requests with a part that this prompt holds; a retry doesn't help."},
	SentElsewhere:     {"SentElsewhere", 503, codes.Unavailable, true, true, "Upstreams crashed under the request, and it is being sent by others, or other nodes can't be asked: it isn't sent until that is over; come back after the given time."},
	RegionUnavailable: {"RegionUnavailable", 503, codes.Unavailable, true, true, "No upstream of the service is in a region in which the route and the client account allow the request to be served."},
	RequestExpired:    {"RequestExpired", 503, codes.Unavailable, true, true, "The upstream refused the request: the node's right to have it run had ended before it arrived."},
}
