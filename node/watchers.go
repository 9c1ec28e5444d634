package node

import (
	"sync"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// watchBuffer is how many resources a slow watcher may lag behind.
const watchBuffer = 1024

// watchers tells operators' watches of resources as they take effect.
type watchers struct {
	mu   sync.Mutex
	subs map[chan *operatorv1.VersionedResource]struct{}
}

func newWatchers() *watchers {
	return &watchers{subs: map[chan *operatorv1.VersionedResource]struct{}{}}
}

func (w *watchers) subscribe() (<-chan *operatorv1.VersionedResource, func()) {
	sub := make(chan *operatorv1.VersionedResource, watchBuffer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subs[sub] = struct{}{}
	return sub, func() { w.drop(sub) }
}

func (w *watchers) drop(sub chan *operatorv1.VersionedResource) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, held := w.subs[sub]; held {
		delete(w.subs, sub)
		close(sub)
	}
}

// tell never blocks the folding goroutine: a watcher that lags too far is closed
// and must list again.
func (w *watchers) tell(r *operatorv1.VersionedResource) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for sub := range w.subs {
		select {
		case sub <- r:
		default:
			delete(w.subs, sub)
			close(sub)
		}
	}
}

// Watch delivers resources as they take effect, until the returned function is
// called or the watcher lags too far.
func (n *Node) Watch() (<-chan *operatorv1.VersionedResource, func()) { return n.watchers.subscribe() }
