package fleetfile

import (
	"context"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Outcome is what Apply did.
type Outcome struct {
	// Changed lists the resources that were created or changed.
	Changed []config.Key
	Version uint64
	TopUps  int
}

// Apply makes the fleet hold what the file declares: one change for all resources
// that differ, made against the versions read, then the top-ups. Resources that
// the file doesn't name stay. A race with another operator fails and changes nothing.
func Apply(ctx context.Context, client operatorv1.OperatorServiceClient, file *File) (Outcome, error) {
	var outcome Outcome
	list, err := client.List(ctx, &operatorv1.ListRequest{})
	if err != nil {
		return outcome, errors.Trace(err)
	}
	changes, changed := diff(list.GetResources(), file.Resources)
	if len(changes) > 0 {
		answer, err := client.Apply(ctx, &operatorv1.ApplyRequest{ChangeId: uuid.NewString(), Changes: changes})
		if err != nil {
			return outcome, errors.Trace(err)
		}
		outcome.Changed, outcome.Version = changed, answer.GetVersion()
	}
	for _, topUp := range file.TopUps {
		if _, err := client.TopUp(ctx, &operatorv1.TopUpRequest{TopUp: topUp}); err != nil {
			return outcome, errors.Annotatef(err, "top-up %s", topUp.GetId())
		}
		outcome.TopUps++
	}
	return outcome, nil
}

func diff(held []*operatorv1.VersionedResource, wanted []*operatorv1.Resource) ([]*operatorv1.Change, []config.Key) {
	byKey := map[config.Key]*operatorv1.VersionedResource{}
	for _, r := range held {
		key, _ := config.KeyOf(r.GetResource())
		byKey[key] = r
	}
	var changes []*operatorv1.Change
	var changed []config.Key
	for _, r := range wanted {
		key, _ := config.KeyOf(r)
		old := byKey[key]
		if proto.Equal(old.GetResource(), r) {
			continue
		}
		changes = append(changes, &operatorv1.Change{BaseVersion: old.GetVersion(), Resource: r})
		changed = append(changed, key)
	}
	return changes, changed
}
