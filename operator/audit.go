package operator

import (
	"context"
	"path"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// InterceptUnary records every call, accepted or refused, as an audit event, and keeps a
// defect in one call from ending the node.
func (s *Server) InterceptUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
	operator, _ := s.identify(ctx)
	defer func() {
		if defect := recover(); defect != nil {
			s.node().Events().Record(event.PanicRecovered, "method", info.FullMethod, "why", defect)
			answer, err = nil, toStatus(result.New(result.InternalError, "a defect in this node"))
		}
		s.audit(operator, info.FullMethod, err)
	}()
	return handle(ctx, request)
}

// InterceptStream is Intercept for streaming calls.
func (s *Server) InterceptStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	operator, _ := s.identify(stream.Context())
	defer func() {
		if defect := recover(); defect != nil {
			s.node().Events().Record(event.PanicRecovered, "method", info.FullMethod, "why", defect)
			err = toStatus(result.New(result.InternalError, "a defect in this node"))
		}
		s.audit(operator, info.FullMethod, err)
	}()
	return handle(server, stream)
}

func (s *Server) audit(operator, method string, err error) {
	s.node().Events().Record(event.OperatorCalled, "operator", operator, "method", path.Base(method),
		"outcome", status.Code(err), "why", status.Convert(err).Message())
}
