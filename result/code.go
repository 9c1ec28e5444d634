package result

import (
	"maps"

	"google.golang.org/grpc/codes"
)

// Code is a numbered result. Numbers are never reused. Thousands
// group them, and each group has a file of its own: 1 the caller, 2 the budget,
// 3 operators, 4 upstreams, 5 the fleet itself.
type Code uint32

// OK tells that the request was served.
const OK Code = 0

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
func All() map[Code]Info { return maps.Clone(table) }
