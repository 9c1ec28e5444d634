package result

import "google.golang.org/grpc/codes"

// Codes for errors of the fleet itself.
const (
	NotServing         Code = 5001
	Draining           Code = 5002
	IncarnationClosed  Code = 5003
	InternalError      Code = 5004
	NotHolder          Code = 5005
	PeerUnreachable    Code = 5006
	StaleEntry         Code = 5007
	WeightsRateLimited Code = 5008
	RecordsAgedOut     Code = 5010
	NodeDrained        Code = 5011
	NodeBusy           Code = 5012
	LinkCrowded        Code = 5013
)

var fleetInfos = map[Code]Info{
	NotServing:         {"NotServing", 503, codes.Unavailable, true, true, "The node is starting and holds no configuration yet."},
	Draining:           {"Draining", 503, codes.Unavailable, true, true, "The node is leaving; use another address."},
	IncarnationClosed:  {"IncarnationClosed", 503, codes.Unavailable, true, true, "The fleet closed this node's incarnation; it will restart itself."},
	InternalError:      {"InternalError", 500, codes.Internal, true, false, "A defect; the event log of the node tells more."},
	NotHolder:          {"NotHolder", 409, codes.FailedPrecondition, true, true, "The lease is held by another node or the epoch is old."},
	PeerUnreachable:    {"PeerUnreachable", 503, codes.Unavailable, true, false, "Another node that is needed does not answer."},
	StaleEntry:         {"StaleEntry", 409, codes.Aborted, false, true, "A log entry was void: its sequence had passed."},
	RecordsAgedOut:     {"RecordsAgedOut", 410, codes.OutOfRange, true, true, "The records asked for are no longer held."},
	NodeDrained:        {"NodeDrained", 503, codes.Unavailable, true, true, "Operators drained this node; use another address."},
	NodeBusy:           {"NodeBusy", 503, codes.Unavailable, true, true, "This node is short of processor time and would answer too late; use another address."},
	LinkCrowded:        {"LinkCrowded", 503, codes.Unavailable, true, true, "This node's link is crowded, and other requests use less of it; use another address."},
	WeightsRateLimited: {"WeightsRateLimited", 503, codes.Unavailable, true, true, "The weight store admits no fetch yet."},
}
