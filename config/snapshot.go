package config

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// savedState is the encoding of State in a snapshot.
type savedState struct {
	Offset    uint64
	Resources []savedResource
	Verdicts  []savedVerdict
}

type savedResource struct {
	Version uint64
	// Packed is the marshalled operator.v1.Resource.
	Packed []byte
}

type savedVerdict struct {
	ID      string
	Verdict fold.Verdict
}

// Snapshot implements fold.Part.
func (s *State) Snapshot() ([]byte, error) {
	view := s.View()
	saved := savedState{Offset: view.Offset}
	view.resources.Scan(func(_ string, stored storedResource) bool {
		saved.Resources = append(saved.Resources, savedResource{stored.version, []byte(stored.packed)})
		return true
	})
	for _, id := range s.verdictOrder {
		saved.Verdicts = append(saved.Verdicts, savedVerdict{id, s.verdicts[id]})
	}
	return json.Marshal(saved)
}

// Restore implements fold.Part. If data is invalid, the state is left unchanged.
func (s *State) Restore(data []byte) error {
	var saved savedState
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Annotate(err, "configuration snapshot")
	}
	view := emptyView()
	view.Offset = saved.Offset
	for _, r := range saved.Resources {
		resource := &operatorv1.Resource{}
		if err := proto.Unmarshal(r.Packed, resource); err != nil {
			return errors.Annotate(err, "resource in snapshot")
		}
		view.put(r.Version, &operatorv1.Change{Resource: resource})
	}
	s.reset()
	for _, v := range saved.Verdicts {
		s.storeVerdict(v.ID, v.Verdict)
	}
	s.view.Store(view)
	return nil
}
