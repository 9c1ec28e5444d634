package main

import (
	"context"
	"expvar"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/edgenode"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/queuedelay"
)

const (
	// crowdedCheckInterval is how often the state of the link is checked for a change; its delay is measured as often.
	crowdedCheckInterval = 100 * time.Millisecond
	// crowdedProcessorWait is the wait of a request for a processor from which on the node tells the others that it is crowded:
	// a tenth of the usual objective of a second.
	crowdedProcessorWait = 100 * time.Millisecond
)

// crowding follows whether callers ask more of the node than its link or processor carries.
type crowding struct {
	clock     bootclock.Clock
	monitor   *queuedelay.Monitor
	admission *linkload.Admission
	lag       func() time.Duration
	events    *event.Recorder
	// episodes counts how often the link became crowded.
	episodes expvar.Int
}

// newCrowding returns nil unless the settings make the node refuse requests while its link is crowded.
func (p *process) newCrowding(monitor *queuedelay.Monitor, lag func() time.Duration) *crowding {
	if !p.settings.RefusesWhenCrowded {
		return nil
	}
	c := &crowding{clock: p.clock, monitor: monitor, admission: linkload.NewAdmission(linkload.DefaultSettings()), lag: lag, events: p.events}
	p.publish("link_crowded", &c.episodes)
	return c
}

// addTo returns a node's dependencies with those by which it refuses requests while it is crowded; unchanged if c is nil.
func (c *crowding) addTo(d edgenode.Deps) edgenode.Deps {
	if c != nil {
		d.LinkAdmission, d.LinkState, d.Crowded = c.admission, c.linkState, c.isCrowded
	}
	return d
}

// linkState returns what is measured of the link.
func (c *crowding) linkState() linkload.Link {
	link := c.monitor.Link
	return linkload.Link{Delay: c.monitor.OwnDelay(), Use: link.Use(), Speed: link.Speed()}
}

// isLinkCrowded reports whether the link is crowded.
func (c *crowding) isLinkCrowded() bool { return c.admission.Crowded(c.clock.Now(), c.linkState()) }

// isCrowded reports whether the link or the processor is crowded.
func (c *crowding) isCrowded() bool {
	return c.isLinkCrowded() || queuedelay.ProcessorWait(c.lag()) >= crowdedProcessorWait
}

// run keeps the receive buffers of callers' connections small while the link is crowded, and records when that begins and ends.
func (c *crowding) run(ctx context.Context, listener *queuedelay.Listener) {
	was := false
	for ctx.Err() == nil {
		if is := c.isLinkCrowded(); is != was {
			was = is
			c.changed(is, listener)
		}
		periodic.Sleep(ctx, crowdedCheckInterval)
	}
}

func (c *crowding) changed(isCrowded bool, listener *queuedelay.Listener) {
	buffer := linkload.UsualReceiveBuffer
	if isCrowded {
		buffer = linkload.SmallReceiveBuffer
		c.episodes.Add(1)
	}
	listener.SetReceiveBuffer(buffer)
	l := c.linkState()
	c.events.Record(event.LinkCrowded, "crowded", isCrowded, "delay_ms", l.Delay.Milliseconds(), "link_percent", int(100*l.Use), "times", c.episodes.Value())
}
