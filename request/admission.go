package request

import "context"

// Ask describes a request that wants to run on this node.
type Ask struct {
	Account string
	Team    string
	// Weight of the account in fair queueing; 0 means 1.
	Weight  uint32
	Service string
	// Tokens is the request's worst case.
	Tokens uint64
}

// Admission decides whether and when a request runs. It fails with Overloaded and a
// time to come back, or with ctx's end. The deadline is ctx's.
type Admission interface {
	// Admit returns a function that must be called once when the request ends.
	Admit(ctx context.Context, ask Ask) (release func(), err error)
}

// admit asks the node's admission, if it has one. It comes before the reservation:
// a request that queues must not hold tokens that another could use.
func (s *Server) admit(ctx context.Context, ask Ask) (release func(), err error) {
	if s.Admission == nil {
		return func() {}, nil
	}
	return s.Admission.Admit(ctx, ask)
}
