package main

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/platform"
)

const (
	// minDrainTime is how long after SIGTERM callers may still connect to an address that
	// they resolved earlier: the address TTL, plus 1.5 s for the other nodes to learn of the
	// shutdown.
	minDrainTime = addressTTL + 1500*time.Millisecond
	// finalReportReserve is the time kept before SIGKILL for the final report.
	finalReportReserve = 900 * time.Millisecond
	// drainPollInterval is how often the requests in flight are checked.
	drainPollInterval = 20 * time.Millisecond
)

// drain serves until callers no longer hold the node's address and every request has ended,
// then returns the node's budget share and stops. A request is cut off only if it outlasts
// the grace period.
func (p *process) drain() {
	start := p.clock.Now()
	p.node.Leave()
	for {
		time.Sleep(drainPollInterval)
		elapsed := p.clock.Now() - start
		if elapsed >= minDrainTime {
			p.node.Refuse()
			if p.inFlight.n.Load() == 0 {
				break
			}
		}
		if elapsed >= p.settings.Bounds.Grace-finalReportReserve {
			break
		}
	}
	p.node.Stop(context.Background())
	_ = p.frontend.Close() // requests still open have outlasted the grace period
}

// reload reads the settings again and logs whether the bounds changed; nothing is applied,
// since addresses and locations can't change within a process.
func (p *process) reload(path string) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		p.events.Record(event.SettingsRead, "error", err)
		return
	}
	p.events.Record(event.SettingsRead, "bounds_changed", settings.Bounds != p.settings.Bounds, "store", settings.Store.Address)
}
