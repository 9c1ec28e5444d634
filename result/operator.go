package result

import "google.golang.org/grpc/codes"

// Codes for errors that operators must resolve.
const (
	VersionConflict   Code = 3001
	InvalidResource   Code = 3002
	NotAuthorized     Code = 3003
	UnknownResource   Code = 3004
	ChangeOutcomeOpen Code = 3101
	LogUnavailable    Code = 3102
)

var operatorInfos = map[Code]Info{
	VersionConflict:   {"VersionConflict", 409, codes.Aborted, false, true, "Another change came first; the message names the current version."},
	InvalidResource:   {"InvalidResource", 400, codes.InvalidArgument, false, true, "The resource breaks a rule; the message names field and rule."},
	NotAuthorized:     {"NotAuthorized", 403, codes.PermissionDenied, false, true, "The operator token lacks the role for this call."},
	UnknownResource:   {"UnknownResource", 404, codes.NotFound, false, true, "A resource that the call names does not exist."},
	ChangeOutcomeOpen: {"ChangeOutcomeOpen", 504, codes.DeadlineExceeded, true, false, "The change may or may not take effect; send the same change id again to learn."},
	LogUnavailable:    {"LogUnavailable", 503, codes.Unavailable, true, true, "The platform's log does not answer; nothing was changed."},
}
