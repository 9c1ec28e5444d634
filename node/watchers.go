package node

import (
	"sync"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// watchBuffer is the number of resources by which a slow watcher may lag.
const watchBuffer = 1024

// watchers notifies operators' watches of resources as they take effect.
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
	return sub, func() { w.unsubscribe(sub) }
}

func (w *watchers) unsubscribe(sub chan *operatorv1.VersionedResource) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, subscribed := w.subs[sub]; subscribed {
		delete(w.subs, sub)
		close(sub)
	}
}

// notify never blocks the goroutine that applies batches: a watcher that lags too far is closed
// and must list again.
func (w *watchers) notify(r *operatorv1.VersionedResource) {
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

// Watch returns a channel of the resources that take effect. It is closed when the returned
// function is called or when the watcher lags too far.
func (n *Node) Watch() (<-chan *operatorv1.VersionedResource, func()) { return n.watchers.subscribe() }
