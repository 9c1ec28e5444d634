package operator

import (
	"context"
	"path"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// InterceptUnary records every call, accepted or refused, as an audit event, and recovers
// from a panic in a handler so that it doesn't terminate the node.
func (s *Server) InterceptUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	operator, _ := s.authenticate(ctx)
	defer func() {
		if recovered := recover(); recovered != nil {
			s.currentNode().Events().Record(event.PanicRecovered, "method", info.FullMethod, "why", recovered)
			response, err = nil, toStatus(result.New(result.InternalError, "a defect in this node"))
		}
		s.audit(operator, info.FullMethod, err)
	}()
	return handler(ctx, request)
}

// InterceptStream is the counterpart of InterceptUnary for streaming calls.
func (s *Server) InterceptStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	operator, _ := s.authenticate(stream.Context())
	defer func() {
		if recovered := recover(); recovered != nil {
			s.currentNode().Events().Record(event.PanicRecovered, "method", info.FullMethod, "why", recovered)
			err = toStatus(result.New(result.InternalError, "a defect in this node"))
		}
		s.audit(operator, info.FullMethod, err)
	}()
	return handler(server, stream)
}

func (s *Server) audit(operator, method string, err error) {
	s.currentNode().Events().Record(event.OperatorCalled, "operator", operator, "method", path.Base(method),
		"outcome", status.Code(err), "why", status.Convert(err).Message())
}
