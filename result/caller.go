package result

import "google.golang.org/grpc/codes"

// Codes that ask the caller to act.
const (
	MalformedRequest Code = 1001
	UnknownKey       Code = 1002
	UnknownService   Code = 1003
	BodyTooLarge     Code = 1004
	TokensOutOfRange Code = 1005
	CallerGone       Code = 1006
	KeyReused        Code = 1007
	CallInProgress   Code = 1008
	AlreadyRan       Code = 1009
	InvalidCursor    Code = 1010
)

var callerInfos = map[Code]Info{
	MalformedRequest: {"MalformedRequest", 400, codes.InvalidArgument, false, true, "The request can't be understood; the message names the place."},
	UnknownKey:       {"UnknownKey", 401, codes.Unauthenticated, false, true, "The key belongs to no client account."},
	UnknownService:   {"UnknownService", 404, codes.NotFound, false, true, "No service has this model or path."},
	BodyTooLarge:     {"BodyTooLarge", 413, codes.InvalidArgument, false, true, "The request body is over the limit."},
	TokensOutOfRange: {"TokensOutOfRange", 400, codes.InvalidArgument, false, true, "max_tokens is negative or above what the service allows."},
	CallerGone:       {"CallerGone", 499, codes.Canceled, true, false, "The caller left before the answer was complete."},
	KeyReused:        {"KeyReused", 422, codes.InvalidArgument, false, true, "The idempotency key was used before with another request."},
	CallInProgress:   {"CallInProgress", 409, codes.Aborted, true, false, "A call with this idempotency key is running; ask again later."},
	AlreadyRan:       {"AlreadyRan", 409, codes.AlreadyExists, false, false, "A call with this idempotency key ran before and its answer is no longer held."},
	InvalidCursor:    {"InvalidCursor", 400, codes.InvalidArgument, false, true, "The Last-Event-ID is not a cursor of this fleet or has expired."},
}
