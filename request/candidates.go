package request

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// upstreams returns the upstreams of a service that may get new work. A stream that
// is resumed goes on at its upstream even while that one leaves.
func (s *Server) upstreams(service string) []*operatorv1.Upstream {
	all := s.Config().Upstreams(service)
	if s.ExcludeLeaving == nil {
		return all
	}
	return s.ExcludeLeaving(all)
}
