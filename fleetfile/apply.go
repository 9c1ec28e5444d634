package fleetfile

import (
	"context"

	"github.com/google/uuid"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// ApplyResult is what Apply did.
type ApplyResult struct {
	// Plan lists the resources that were created, changed or deleted; nil when the
	// change was refused.
	Plan    Plan
	Version uint64
	TopUps  int
}

// Apply makes the fleet hold what the file declares: one change for all resources
// that differ, made against the versions read, then the top-ups. Resources that
// the file doesn't name stay, unless prune is true. A race with another operator
// fails and changes nothing.
func Apply(ctx context.Context, client operatorv1.OperatorServiceClient, file *File, prune bool) (ApplyResult, error) {
	var outcome ApplyResult
	held, _, err := ReadResources(ctx, client)
	if err != nil {
		return outcome, errors.Trace(err)
	}
	if plan := NewPlan(held, file, prune); len(plan) > 0 {
		answer, err := client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: uuid.NewString(), Changes: plan.Changes()})
		if err != nil {
			return outcome, errors.Trace(err)
		}
		outcome.Plan, outcome.Version = plan, answer.GetVersion()
	}
	for _, topUp := range file.TopUps {
		if _, err := client.TopUp(ctx, &operatorv1.TopUpRequest{TopUp: topUp}); err != nil {
			return outcome, errors.Annotatef(err, "top-up %s", topUp.GetId())
		}
		outcome.TopUps++
	}
	return outcome, nil
}
