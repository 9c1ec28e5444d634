package streamorigin

import "github.com/juju/errors"

// ballot collects what nodes say that don't know where a stream began.
type ballot struct {
	service string
	// versions are the versions of the service that this node or one of the others knows of.
	versions []string
	// asked and answered count the other nodes; fromStore reports whether the store answered one of them,
	// storeAnswered whether it answered this node.
	asked, answered          int
	fromStore, storeAnswered bool
	// hasRead reports whether this process has read the topic at all.
	hasRead   bool
	lastError error
}

func (b *ballot) add(reply Reply) {
	b.answered++
	b.fromStore = b.fromStore || reply.FromStore
	b.versions = union(b.versions, reply.Versions)
}

// hasMajority reports whether most nodes have answered, this one included.
func (b *ballot) hasMajority() bool { return 2*(b.answered+1) > b.asked+1 }

// decide returns the only version at which the stream can have begun. If the store answers nobody, it is taken for
// down once most nodes say so: no version can be declared then. A node that is cut off with few others can't tell,
// as the rest of the fleet may have learned of a version meanwhile; nor can one that has just started and never reached
// the store.
func (b *ballot) decide() (Resolution, error) {
	if len(b.versions) != 1 {
		return Resolution{}, errors.Errorf("the service has the versions %q; %d of %d nodes that were asked answered and don't know the stream (%v)", b.versions, b.answered, b.asked, b.lastError)
	}
	only := Origin{Service: b.service, Version: b.versions[0]}
	switch {
	case b.fromStore:
		return Resolution{only, OnlyVersion}, nil
	case !b.storeAnswered && b.hasRead && b.hasMajority():
		return Resolution{only, OnlyVersionOfNodes}, nil
	}
	return Resolution{}, errors.Errorf("the store doesn't answer, and %d of %d nodes that were asked do (%v)", b.answered, b.asked, b.lastError)
}
