package devfleet

import (
	"github.com/juju/errors"
)

// ReplaceNode stops a node gracefully and starts one at the same place under new
// addresses, as a platform replaces an instance.
func (f *Fleet) ReplaceNode(i int, place Location) error {
	f.stops[i]()
	<-f.ended[i]
	if err := f.startNode(place); err != nil {
		return errors.Trace(err)
	}
	last := len(f.Daemons) - 1
	f.Daemons[i], f.stops[i], f.ended[i] = f.Daemons[last], f.stops[last], f.ended[last]
	f.Daemons, f.stops, f.ended = f.Daemons[:last], f.stops[:last], f.ended[:last]
	return f.awaitServing()
}
