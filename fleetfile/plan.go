package fleetfile

import (
	"sort"

	"google.golang.org/protobuf/proto"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// Action is what a step does to its resource.
type Action string

// The actions of a plan.
const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Step is one resource that a plan creates, changes or deletes.
type Step struct {
	Action Action
	Key    config.Key
	// Current is what is in force now; nil for a resource that is created.
	Current *operatorv1.Resource
	// Change is what is sent, made against the version that Held has.
	Change *operatorv1.Change
}

// Plan is what it takes to make a fleet hold what a file declares.
type Plan []Step

// NewPlan compares a file with the resources in force. With prune it deletes those
// that the file doesn't name; the deletions come first, so that what they held, such
// as a caller's key or a model, is free for the resources that follow.
//
// Two kinds are never pruned. Drains say what happens to a node now, not how the fleet
// is meant to be. Operator tokens stay when the file declares none: deleting the last
// one would lock all operators out.
func NewPlan(held []*operatorv1.VersionedResource, file *File, prune bool) Plan {
	wanted := map[config.Key]bool{}
	for _, r := range file.Resources {
		key, _ := config.KeyOf(r)
		wanted[key] = true
	}
	var plan Plan
	byKey := map[config.Key]*operatorv1.VersionedResource{}
	for _, r := range held {
		key, _ := config.KeyOf(r.GetResource())
		byKey[key] = r
		if prune && !wanted[key] && !r.GetDeleted() && prunes(key.Kind, file) {
			plan = append(plan, Step{ActionDelete, key, r.GetResource(),
				&operatorv1.Change{BaseVersion: r.GetVersion(), Resource: r.GetResource(), Delete: true}})
		}
	}
	sort.Slice(plan, func(i, j int) bool { return plan[i].Key.String() < plan[j].Key.String() })
	for _, r := range file.Resources {
		key, _ := config.KeyOf(r)
		old := byKey[key]
		if proto.Equal(old.GetResource(), r) {
			continue
		}
		action := ActionChange
		if old == nil {
			action = ActionCreate
		}
		plan = append(plan, Step{action, key, old.GetResource(),
			&operatorv1.Change{BaseVersion: old.GetVersion(), Resource: r}})
	}
	return plan
}

func prunes(kind config.Kind, file *File) bool {
	switch kind {
	case config.KindDrain:
		return false
	case config.KindToken:
		return file.declaresTokens()
	}
	return true
}

// Changes returns what is sent to the fleet.
func (p Plan) Changes() []*operatorv1.Change {
	changes := make([]*operatorv1.Change, 0, len(p))
	for _, step := range p {
		changes = append(changes, step.Change)
	}
	return changes
}
