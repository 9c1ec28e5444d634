package devfleet

import (
	"github.com/juju/errors"
)

// ReplaceNode gracefully stops a node and starts a new one at the given location with new
// addresses, as a platform replaces an instance.
func (f *Fleet) ReplaceNode(i int, location Location) error {
	f.cancels[i]()
	<-f.stopped[i]
	if err := f.startNode(location); err != nil {
		return errors.Trace(err)
	}
	last := len(f.Daemons) - 1
	f.Daemons[i], f.cancels[i], f.stopped[i] = f.Daemons[last], f.cancels[last], f.stopped[last]
	f.Daemons, f.cancels, f.stopped = f.Daemons[:last], f.cancels[:last], f.stopped[:last]
	return f.awaitServing()
}
