package request

import (
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// candidateUpstreams returns the upstreams of a service that may get new requests. A resumed
// stream continues at an upstream that only the platform's list shows as leaving; one that says
// so itself gives no stream again.
func (s *Server) candidateUpstreams(service string) []*operatorv1.Upstream {
	all := s.Config().Upstreams(service)
	if s.ExcludeLeaving == nil {
		return all
	}
	return s.ExcludeLeaving(all)
}
