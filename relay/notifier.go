package relay

import "sync"

// notifier wakes all waiting goroutines, any number of times. The zero value is ready
// for use. It is safe for concurrent use.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next call of notifyAll closes.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
