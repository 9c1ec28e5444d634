package fleetfile

import (
	"context"

	"github.com/google/uuid"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// ApplyResult describes what Apply changed.
type ApplyResult struct {
	// Plan lists the resources that were created, changed or deleted; nil if the
	// change was refused.
	Plan    Plan
	Version uint64
	TopUps  int
}

// Apply brings the fleet to the state that the file declares: one change for all
// resources that differ, based on the versions read, then the top-ups. Resources that the
// file doesn't declare are kept, unless prune is true. A conflict with another operator's
// change fails and changes nothing.
func Apply(ctx context.Context, client operatorv1.OperatorServiceClient, file *File, prune bool) (ApplyResult, error) {
	var result ApplyResult
	current, _, err := ReadResources(ctx, client)
	if err != nil {
		return result, errors.Trace(err)
	}
	if plan := NewPlan(current, file, prune); len(plan) > 0 {
		response, err := client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: uuid.NewString(), Changes: plan.Changes()})
		if err != nil {
			return result, errors.Trace(err)
		}
		result.Plan, result.Version = plan, response.GetVersion()
	}
	for _, topUp := range file.TopUps {
		if _, err := client.TopUp(ctx, &operatorv1.TopUpRequest{TopUp: topUp}); err != nil {
			return result, errors.Annotatef(err, "top-up %s", topUp.GetId())
		}
		result.TopUps++
	}
	return result, nil
}
