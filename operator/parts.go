package operator

import (
	"context"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// BlockedParts implements operator.v1.OperatorService.
func (s *Server) BlockedParts(ctx context.Context, _ *operatorv1.BlockedPartsRequest) (*operatorv1.BlockedPartsResponse, error) {
	if _, err := s.authorize(ctx, operatorv1.Role_ROLE_VIEW); err != nil {
		return nil, toStatus(err)
	}
	response := &operatorv1.BlockedPartsResponse{}
	for _, b := range s.currentNode().BlockedParts() {
		response.Parts = append(response.Parts, &operatorv1.BlockedPart{Part: b.Name, Model: b.Model, Account: b.Account, LastCrashAgoMs: uint64(b.AgoMs), Trials: uint32(b.Trials)})
	}
	return response, nil
}

// LiftPart implements operator.v1.OperatorService.
func (s *Server) LiftPart(ctx context.Context, r *operatorv1.LiftPartRequest) (*operatorv1.LiftPartResponse, error) {
	operator, err := s.authorize(ctx, operatorv1.Role_ROLE_OPERATE)
	if err != nil {
		return nil, toStatus(err)
	}
	if r.GetPart() == "" {
		return nil, toStatus(result.New(result.InvalidResource, "part is empty"))
	}
	return &operatorv1.LiftPartResponse{Lifted: s.currentNode().LiftPart(r.GetPart(), operator)}, nil
}
