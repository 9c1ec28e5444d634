package operator

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/node"
	"lavenderpin.dev/lavenderpin/result"
)

// verdictWait bounds how long a call waits for the log to show a change. A caller's
// shorter deadline goes first.
const verdictWait = 10 * time.Second

// Server implements operator.v1.OperatorService.
type Server struct {
	operatorv1.UnimplementedOperatorServiceServer
	node func() *node.Node
}

// New returns a server; node is asked for each call, since a daemon replaces its
// node when the fleet closes the incarnation.
func New(current func() *node.Node) *Server { return &Server{node: current} }

// Register adds the service to a gRPC server.
func (s *Server) Register(server *grpc.Server) { operatorv1.RegisterOperatorServiceServer(server, s) }

// toStatus returns an error as gRPC carries it: the numbered code and its message.
func toStatus(err error) error {
	if err == nil {
		return nil
	}
	known := result.From(err)
	return status.Error(known.Code.Info().GRPC, known.Error())
}

// Apply implements operator.v1.OperatorService.
func (s *Server) Apply(ctx context.Context, r *operatorv1.ApplyRequest) (*operatorv1.ApplyResponse, error) {
	operator, err := s.authorize(ctx, operatorv1.Role_ROLE_OPERATE)
	if err != nil {
		return nil, toStatus(err)
	}
	if err := validateApply(r); err != nil {
		return nil, toStatus(err)
	}
	verdict, err := s.submit(ctx, &recordv1.Entry{Body: &recordv1.Entry_Config{Config: &recordv1.ConfigChange{
		ChangeId: r.GetChangeId(), Operator: operator, Changes: r.GetChanges(),
	}}})
	if err != nil {
		return nil, toStatus(err)
	}
	return &operatorv1.ApplyResponse{Version: verdict.Version}, nil
}

func validateApply(r *operatorv1.ApplyRequest) error {
	if r.GetChangeId() == "" {
		return result.New(result.InvalidResource, "change_id is empty")
	}
	if len(r.GetChanges()) == 0 {
		return result.New(result.InvalidResource, "no changes")
	}
	return config.ValidateChanges(r.GetChanges())
}

// TopUp implements operator.v1.OperatorService.
func (s *Server) TopUp(ctx context.Context, r *operatorv1.TopUpRequest) (*operatorv1.TopUpResponse, error) {
	operator, err := s.authorize(ctx, operatorv1.Role_ROLE_OPERATE)
	if err != nil {
		return nil, toStatus(err)
	}
	topUp := r.GetTopUp()
	if topUp.GetId() == "" || topUp.GetBudget() == "" || topUp.GetTokens() == 0 {
		return nil, toStatus(result.New(result.InvalidResource, "a top-up needs id, budget and tokens"))
	}
	if !s.node().Config().HasBudget(topUp.GetBudget()) {
		return nil, toStatus(result.New(result.UnknownResource, "no budget %q", topUp.GetBudget()))
	}
	verdict, err := s.submit(ctx, &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{Operator: operator, TopUp: topUp}}})
	if err != nil {
		return nil, toStatus(err)
	}
	return &operatorv1.TopUpResponse{Version: verdict.Version}, nil
}

func (s *Server) submit(ctx context.Context, entry *recordv1.Entry) (fold.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictWait)
	defer cancel()
	verdict, err := s.node().LogWriter().Submit(entry).Wait(ctx)
	if err != nil {
		return verdict, err
	}
	return verdict, verdict.Err()
}

// List implements operator.v1.OperatorService.
func (s *Server) List(ctx context.Context, r *operatorv1.ListRequest) (*operatorv1.ListResponse, error) {
	if _, err := s.authorize(ctx, operatorv1.Role_ROLE_VIEW); err != nil {
		return nil, toStatus(err)
	}
	n := s.node()
	answer := &operatorv1.ListResponse{Offset: n.AppliedOffset()}
	if key := (config.Key{Kind: config.Kind(r.GetKind()), Name: r.GetName()}); key != (config.Key{}) {
		if held := n.Config().Versioned(key); held != nil {
			answer.Resources = append(answer.Resources, held)
		}
		return answer, nil
	}
	answer.Resources, answer.Next = n.Config().Page(r.GetAfter())
	return answer, nil
}

// Watch implements operator.v1.OperatorService.
func (s *Server) Watch(_ *operatorv1.WatchRequest, stream grpc.ServerStreamingServer[operatorv1.WatchResponse]) error {
	if _, err := s.authorize(stream.Context(), operatorv1.Role_ROLE_VIEW); err != nil {
		return toStatus(err)
	}
	changes, stop := s.node().Watch()
	defer stop()
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case r, open := <-changes:
			if !open {
				return toStatus(result.New(result.Overloaded, "the watch lagged too far; list again"))
			}
			if err := stream.Send(&operatorv1.WatchResponse{Resource: r}); err != nil {
				return err
			}
		}
	}
}

// Budgets implements operator.v1.OperatorService.
func (s *Server) Budgets(ctx context.Context, r *operatorv1.BudgetsRequest) (*operatorv1.BudgetsResponse, error) {
	if _, err := s.authorize(ctx, operatorv1.Role_ROLE_VIEW); err != nil {
		return nil, toStatus(err)
	}
	n := s.node()
	answer := &operatorv1.BudgetsResponse{Offset: n.AppliedOffset()}
	if r.GetBudget() != "" {
		answer.Budgets = n.BudgetState(r.GetBudget())
		return answer, nil
	}
	answer.Budgets, answer.Next = n.BudgetStates(r.GetAfter())
	return answer, nil
}

// Nodes implements operator.v1.OperatorService.
func (s *Server) Nodes(ctx context.Context, _ *operatorv1.NodesRequest) (*operatorv1.NodesResponse, error) {
	if _, err := s.authorize(ctx, operatorv1.Role_ROLE_VIEW); err != nil {
		return nil, toStatus(err)
	}
	return &operatorv1.NodesResponse{Nodes: s.node().NodeStatuses()}, nil
}

// Events implements operator.v1.OperatorService.
func (s *Server) Events(ctx context.Context, r *operatorv1.EventsRequest) (*operatorv1.EventsResponse, error) {
	if _, err := s.authorize(ctx, operatorv1.Role_ROLE_VIEW); err != nil {
		return nil, toStatus(err)
	}
	return s.node().Timeline(ctx, r.GetId(), r.GetFleet()), nil
}
