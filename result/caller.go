package result

import "google.golang.org/grpc/codes"

// Codes for errors that the caller must resolve.
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
	KeysExhausted    Code = 1011
	KeyNotClaimed    Code = 1012
	InvalidTicket    Code = 1013
	TicketExpired    Code = 1014
	InvalidKey       Code = 1015
	InvalidPath      Code = 1016
)

var callerInfos = map[Code]Info{
	MalformedRequest: {"MalformedRequest", 400, codes.InvalidArgument, false, true, "The request can't be understood; the message names the place."},
	UnknownKey:       {"UnknownKey", 401, codes.Unauthenticated, false, true, "The key belongs to no client account."},
	UnknownService:   {"UnknownService", 404, codes.NotFound, false, true, "No service has this model or path."},
	BodyTooLarge:     {"BodyTooLarge", 413, codes.InvalidArgument, false, true, "The request body is over the limit."},
	TokensOutOfRange: {"TokensOutOfRange", 400, codes.InvalidArgument, false, true, "max_tokens is negative or above what the service allows, or prompt and output together are more than an engine's memory holds."},
	CallerGone:       {"CallerGone", 499, codes.Canceled, true, false, "The caller left before the answer was complete."},
	KeyReused:        {"KeyReused", 422, codes.InvalidArgument, false, true, "The idempotency key was used before with another request."},
	CallInProgress:   {"CallInProgress", 409, codes.Aborted, true, false, "A call with this idempotency key is running; ask again later."},
	AlreadyRan:       {"AlreadyRan", 409, codes.AlreadyExists, false, false, "A call with this idempotency key ran before and its answer is no longer held."},
	InvalidCursor:    {"InvalidCursor", 400, codes.InvalidArgument, false, true, "The Last-Event-ID is not a cursor of this fleet or has expired."},
	KeysExhausted:    {"KeysExhausted", 429, codes.ResourceExhausted, true, true, "The account holds as many idempotency keys as the fleet remembers; come back later or use a ticket."},
	KeyNotClaimed:    {"KeyNotClaimed", 503, codes.Unavailable, true, false, "The log doesn't confirm the idempotency key. This try was not run and won't be; an earlier try with the key may have been."},
	InvalidTicket:    {"InvalidTicket", 400, codes.InvalidArgument, false, true, "The ticket was not issued by this fleet to this account."},
	TicketExpired:    {"TicketExpired", 410, codes.FailedPrecondition, false, false, "The ticket has expired; whether it was used before is no longer known."},
	InvalidKey:       {"InvalidKey", 400, codes.InvalidArgument, false, true, "The idempotency key is too long, holds control characters or stands beside a ticket."},
	InvalidPath:      {"InvalidPath", 400, codes.InvalidArgument, false, true, "The path holds dot segments, control characters or broken escapes."},
}
