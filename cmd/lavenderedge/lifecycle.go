package main

import (
	"context"
	"os"
	"syscall"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/event"
)

// lifecycle is what a process reacts to and how.
type lifecycle struct {
	// started delivers the result of the start.
	started <-chan error
	// cancelStart makes a start that hasn't begun to listen fail with context.Canceled.
	cancelStart context.CancelFunc
	signals     <-chan os.Signal
	reload      func()
	drain       func()
}

// serve runs until the start fails or the process has shut down after a signal.
func (p *process) serve(l lifecycle) error {
	serving := false
	for {
		select {
		case err := <-l.started:
			if err != nil {
				return errors.Trace(err)
			}
			l.started, serving = nil, true
			p.events.Record(event.NodeServing, "frontend", p.settings.Frontend)
		case s := <-l.signals:
			if s == syscall.SIGHUP {
				l.reload()
				continue
			}
			if !serving {
				if listens, err := l.finishStart(); !listens {
					return err
				}
			}
			l.drain()
			return nil
		}
	}
}

// finishStart cancels the start and reports whether the node listens nevertheless: requests may
// then be open, although the start hasn't been reported yet. It returns an error if the start
// failed by itself.
func (l *lifecycle) finishStart() (listens bool, err error) {
	l.cancelStart()
	switch err := <-l.started; {
	case err == nil:
		return true, nil
	case errors.Is(err, context.Canceled):
		return false, nil
	default:
		return false, errors.Trace(err)
	}
}
