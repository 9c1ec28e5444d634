package streamorigin

import (
	"context"
	"maps"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

const (
	// minInterval is the shortest interval between two records of a node. What began within it is lost with the
	// node, a tenth of the streams of two seconds.
	minInterval = 250 * time.Millisecond
	// intervalPerNode lengthens the interval with the fleet, so that all nodes together write at most 250 records
	// a second: half of what one partition of the store takes at 2 ms an append.
	intervalPerNode = 4 * time.Millisecond
	// appendTimeout bounds the write of one record.
	appendTimeout = 600 * time.Millisecond
	// refreshInterval is how often the topic is read while a service has several versions, to learn which of them
	// are still declared and to delete what nobody needs any more.
	refreshInterval = time.Minute
)

// publisher writes what other nodes have to know. It is used by one goroutine.
type publisher struct {
	*Registry
	versions *versionSet
	cleaner  *cleaner
	epoch    uint64
	// writtenFor are the services whose streams the topic holds for this node, empty if it holds none;
	// generation is that of the table when they were written.
	writtenFor map[string]bool
	generation uint64
	// failing reports whether the last write or reading failed.
	failing     bool
	refreshedAt time.Duration
}

func newPublisher(r *Registry) *publisher {
	return &publisher{Registry: r, versions: newVersionSet(r), cleaner: &cleaner{deps: &r.deps, goneSince: make(map[string]time.Duration)},
		refreshedAt: r.deps.Clock.Now()}
}

func (p *publisher) run(ctx context.Context) {
	for {
		timer := time.NewTimer(p.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-p.changed:
			timer.Stop()
		case <-timer.C:
		}
		p.report(p.step(ctx))
	}
}

// step does what is due. What fails is tried again at the next interval.
func (p *publisher) step(ctx context.Context) error {
	p.versions.look()
	p.tellMixed()
	err := p.declare(ctx)
	p.tellMixed()
	p.setDeclared(p.versions.usable(), err != nil)
	if err != nil {
		return err
	}
	if err := p.publish(ctx); err != nil {
		return err
	}
	return p.refresh(ctx)
}

func (p *publisher) tellMixed() {
	mixed := p.versions.mixed()
	p.Registry.mixed.Store(&mixed)
}

func (p *publisher) interval() time.Duration {
	peers, _ := p.deps.Peers()
	return max(minInterval, time.Duration(len(peers)+1)*intervalPerNode)
}

// report logs the first of consecutive failures, and the end of them.
func (p *publisher) report(err error) {
	switch {
	case err != nil && !p.failing:
		p.failing = true
		p.deps.Events.Record(event.LogUnreachable, "topic", TopicName, "error", err)
	case err == nil && p.failing:
		p.failing = false
		p.deps.Events.Record(event.LogReachable, "topic", TopicName)
	}
}

// declare writes the versions that are listed and not declared yet, and with them the streams of this node: from then on
// they can't be told by the service alone.
func (p *publisher) declare(ctx context.Context) error {
	if len(p.versions.undeclared()) == 0 {
		return nil
	}
	read := p.reader.read
	if p.failing {
		read = p.reader.readPatiently
	}
	v, err := read(ctx)
	if err != nil {
		return err
	}
	p.versions.learn(v)
	missing := p.versions.undeclared()
	if len(missing) == 0 {
		return nil
	}
	records := make([]keyedlog.Record, len(missing))
	for i, o := range missing {
		if records[i], err = encodeVersion(o); err != nil {
			return err
		}
	}
	streams, err := p.due()
	if err != nil {
		return err
	}
	if err := p.append(ctx, append(records, streams.records...)...); err != nil {
		return err
	}
	p.markWritten(streams)
	for _, o := range missing {
		p.versions.declared[o] = true
		p.deps.Events.Record(event.VersionDeclared, "service", o.Service, "version", o.Version, "declared", true)
	}
	return nil
}

// nodeStreams is what has to be written of this node's streams.
type nodeStreams struct {
	// records holds one record, or none if nothing changed.
	records []keyedlog.Record
	// services are those with several versions, generation is that of the table when the record was composed.
	services   map[string]bool
	generation uint64
}

// due returns what has to be written of the streams in services with several versions.
func (p *publisher) due() (nodeStreams, error) {
	mixed := p.versions.mixed()
	attempts, generation := p.table.byOrigin(mixed)
	if len(attempts) == 0 {
		mixed = nil
	}
	if maps.Equal(mixed, p.writtenFor) && (generation == p.generation || len(mixed) == 0) {
		return nodeStreams{}, nil
	}
	record, err := encodeNode(p.deps.Node, p.deps.Incarnation, attempts)
	return nodeStreams{[]keyedlog.Record{record}, mixed, generation}, err
}

// markWritten records that the topic holds the streams.
func (p *publisher) markWritten(s nodeStreams) {
	if len(s.records) > 0 {
		p.writtenFor, p.generation = s.services, s.generation
	}
}

// publish writes the origins of this node's streams in services with several versions, if they changed.
func (p *publisher) publish(ctx context.Context) error {
	streams, err := p.due()
	if err != nil || len(streams.records) == 0 {
		return err
	}
	if err := p.append(ctx, streams.records...); err != nil {
		return err
	}
	p.markWritten(streams)
	return nil
}

// refresh reads the topic once in a while if a service has several versions, and deletes what nobody needs.
func (p *publisher) refresh(ctx context.Context) error {
	now := p.deps.Clock.Now()
	if now-p.refreshedAt < refreshInterval || len(p.versions.mixed()) == 0 {
		return nil
	}
	p.refreshedAt = now
	v, err := p.reader.read(ctx)
	if err != nil {
		return err
	}
	p.versions.learn(v)
	if !p.deps.IsCleaner() {
		return nil
	}
	stale := p.cleaner.stale(v, now)
	if len(stale) == 0 {
		return nil
	}
	return p.append(ctx, stale...)
}

func (p *publisher) append(ctx context.Context, records ...keyedlog.Record) error {
	timeout := appendTimeout
	if p.failing {
		timeout = slowTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.epoch++
	return p.deps.Topic.Append(ctx, keyedlog.Fence{Producer: TopicName + "/" + p.deps.Incarnation, Epoch: p.epoch}, records...)
}
