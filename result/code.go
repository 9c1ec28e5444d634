package result

import (
	"maps"

	"google.golang.org/grpc/codes"
)

// Code is a numbered result. Numbers are never reused. They are grouped by thousands,
// with a file for each group: 1xxx caller, 2xxx budgets, 3xxx operators, 4xxx upstreams
// and admission, 5xxx the fleet itself.
type Code uint32

// OK means that the request was served.
const OK Code = 0

// Info describes a code for the documentation and for the HTTP and gRPC APIs.
type Info struct {
	Name string
	// HTTP is the HTTP status returned with the code.
	HTTP int
	// GRPC is the gRPC status returned with the code.
	GRPC codes.Code
	// Retry reports whether retrying the same request later can succeed.
	Retry bool
	// NotRun reports that the request certainly did not run at an upstream.
	NotRun bool
	// Meaning is a one-sentence description.
	Meaning string
}

// Info returns the description of the code. Unknown codes are described as InternalError.
func (c Code) Info() Info {
	if info, ok := infos[c]; ok {
		return info
	}
	return infos[InternalError]
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// All returns the descriptions of all known codes.
func All() map[Code]Info { return maps.Clone(infos) }
