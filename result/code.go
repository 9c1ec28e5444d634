package result

import "google.golang.org/grpc/codes"

// Code is a numbered result. Thousands group them by whose turn it is to act:
// 1 the caller, 2 the budget, 3 operators, 4 upstreams, 5 the fleet itself.
type Code uint32

// The result codes. Numbers are never reused.
const (
	OK Code = 0

	MalformedRequest   Code = 1001
	UnknownKey         Code = 1002
	UnknownService     Code = 1003
	BodyTooLarge       Code = 1004
	TokensOutOfRange   Code = 1005
	CallerGone         Code = 1006
	KeyReused          Code = 1007
	CallInProgress     Code = 1008
	AlreadyRan         Code = 1009
	InvalidCursor      Code = 1010
	NoBudget           Code = 2001
	BudgetSpent        Code = 2002
	BudgetUnreachable  Code = 2003
	SpendRightLapsed   Code = 2004
	VersionConflict    Code = 3001
	InvalidResource    Code = 3002
	NotAuthorized      Code = 3003
	UnknownResource    Code = 3004
	ChangeOutcomeOpen  Code = 3101
	LogUnavailable     Code = 3102
	NoUpstream         Code = 4001
	UpstreamFailed     Code = 4002
	AnswerCut          Code = 4003
	AnswerCrossed      Code = 4004
	OutcomeUnknown     Code = 4005
	Overloaded         Code = 4006
	DeadlineExceeded   Code = 4007
	NotServing         Code = 5001
	Draining           Code = 5002
	IncarnationClosed  Code = 5003
	InternalError      Code = 5004
	NotHolder          Code = 5005
	PeerUnreachable    Code = 5006
	StaleEntry         Code = 5007
	WeightsRateLimited Code = 5008
)

// Info describes a code for the table in the docs and for both APIs.
type Info struct {
	Name string
	// HTTP is the status that carries the code over HTTP.
	HTTP int
	// GRPC is the status that carries the code over gRPC.
	GRPC codes.Code
	// Retry tells whether sending the same request again later can help.
	Retry bool
	// NotRun tells that the request certainly did not run at an upstream.
	NotRun bool
	// Meaning is one sentence for people.
	Meaning string
}

// Info returns the description of the code; unknown codes read as InternalError.
func (c Code) Info() Info {
	if info, ok := table[c]; ok {
		return info
	}
	return table[InternalError]
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// All returns every known code.
func All() map[Code]Info {
	all := make(map[Code]Info, len(table))
	for code, info := range table {
		all[code] = info
	}
	return all
}
