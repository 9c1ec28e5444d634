package fleetfile

import (
	"sort"

	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Action is the operation of a step on its resource.
type Action string

// The actions of a plan.
const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Step is the creation, change or deletion of one resource.
type Step struct {
	Action Action
	Key    config.Key
	// Current is the resource before the step; nil if it is created.
	Current *operatorv1.Resource
	// Change is the change to send, based on the version of Current.
	Change *operatorv1.Change
}

// Plan is the list of steps that bring a fleet to the state that a file declares.
type Plan []Step

// NewPlan compares a file with the current resources. With prune it deletes those that the
// file doesn't declare; deletions come first, so that what they used, such as a caller's
// key or a model, are free for the resources that follow.
//
// Two kinds are exempt. Drains are never pruned: they describe an operation in progress on
// a node, not the desired state of the fleet. Operator tokens are kept if the file declares
// none: deleting the last one would lock out all operators.
func NewPlan(current []*operatorv1.VersionedResource, file *File, prune bool) Plan {
	declared := map[config.Key]bool{}
	for _, r := range file.Resources {
		key, _ := config.KeyOf(r)
		declared[key] = true
	}
	var plan Plan
	byKey := map[config.Key]*operatorv1.VersionedResource{}
	for _, r := range current {
		key, _ := config.KeyOf(r.GetResource())
		byKey[key] = r
		if prune && !declared[key] && !r.GetDeleted() && prunable(key.Kind, file) {
			plan = append(plan, Step{ActionDelete, key, r.GetResource(),
				&operatorv1.Change{BaseVersion: r.GetVersion(), Resource: r.GetResource(), Delete: true}})
		}
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].Key.String() < plan[j].Key.String() })
	for _, r := range file.Resources {
		key, _ := config.KeyOf(r)
		existing := byKey[key]
		if proto.Equal(existing.GetResource(), r) {
			continue
		}
		action := ActionChange
		if existing == nil {
			action = ActionCreate
		}
		plan = append(plan, Step{action, key, existing.GetResource(),
			&operatorv1.Change{BaseVersion: existing.GetVersion(), Resource: r}})
	}
	return plan
}

func prunable(kind config.Kind, file *File) bool {
	switch kind {
	case config.KindDrain:
		return false
	case config.KindToken:
		return file.declaresTokens()
	}
	return true
}

// Changes returns the changes to send to the fleet.
func (p Plan) Changes() []*operatorv1.Change {
	changes := make([]*operatorv1.Change, 0, len(p))
	for _, step := range p {
		changes = append(changes, step.Change)
	}
	return changes
}
