package config

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// savedState is the snapshot form of State.
type savedState struct {
	Offset    uint64
	Resources [][]byte
	Verdicts  []savedVerdict
}

type savedVerdict struct {
	ID      string
	Verdict fold.Verdict
}

// Snapshot implements fold.Part.
func (s *State) Snapshot() ([]byte, error) {
	saved := savedState{Offset: s.View().Offset}
	for _, key := range sortedKeys(s.resources) {
		data, err := proto.Marshal(s.resources[key])
		if err != nil {
			return nil, errors.Annotatef(err, "resource %s", key)
		}
		saved.Resources = append(saved.Resources, data)
	}
	for _, id := range s.order {
		saved.Verdicts = append(saved.Verdicts, savedVerdict{id, s.verdicts[id]})
	}
	return json.Marshal(saved)
}

// Restore implements fold.Part.
func (s *State) Restore(data []byte) error {
	var saved savedState
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Annotate(err, "configuration snapshot")
	}
	s.reset()
	for _, raw := range saved.Resources {
		held := &operatorv1.VersionedResource{}
		if err := proto.Unmarshal(raw, held); err != nil {
			return errors.Annotate(err, "resource in snapshot")
		}
		key, _ := KeyOf(held.GetResource())
		s.resources[key] = held
	}
	for _, v := range saved.Verdicts {
		s.remember(v.ID, v.Verdict)
	}
	s.view.Store(buildView(saved.Offset, s.resources))
	return nil
}
