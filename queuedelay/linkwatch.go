package queuedelay

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// loggedUse is from which use of the link on lines are logged, as a part of its speed: packets begin to queue.
const loggedUse = 0.8

// watchLink samples the use of the link until ctx ends.
func (m *Monitor) watchLink(ctx context.Context) {
	var logged time.Duration
	for ctx.Err() == nil {
		now := m.Clock.Now()
		m.Link.Sample(now)
		if m.Link.Use() >= loggedUse && (logged == 0 || now-logged >= logInterval) {
			logged = now
			m.Events.Record(event.LinkBusy, append([]any{"delay_ms", m.Delay().Milliseconds()}, m.linkFields()...)...)
		}
		periodic.Sleep(ctx, m.sampleInterval())
	}
}

// sampleInterval returns the time until the next sample.
func (m *Monitor) sampleInterval() time.Duration {
	if m.IsNeeded() {
		return shortInterval
	}
	return usualInterval
}
