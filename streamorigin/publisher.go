package streamorigin

import (
	"context"
	"maps"
	"slices"
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
	// markLife is how long after its last write this node relies on its mark: the record may be deleted retirementAge
	// after others first read it, and a stream lives for MaxLife.
	markLife = retirementAge - MaxLife
	// basePeerTimeout bounds the question for a base to another node, which waits for the store for storeHeadStart.
	basePeerTimeout = storeHeadStart + 100*time.Millisecond
	// maxAskedForBase bounds how many nodes are asked for a base at a time: many may have died with the store.
	maxAskedForBase = 8
)

// publisher writes what other nodes have to know. It is used by one goroutine.
type publisher struct {
	*Registry
	versions *versionSet
	cleaner  *cleaner
	epoch    uint64
	// writtenFor are the services whose streams the topic holds for this node, and in which it is marked; generation is that
	// of the table when they were written, streams the number of them.
	writtenFor map[string]bool
	generation uint64
	streams    int
	// uncertain reports that the last write of this node's record failed: it may still be executed.
	uncertain bool
	// writtenAt is when the last acknowledged write of this node's record began.
	writtenAt time.Duration
	// renewals counts how often the record got a new key, since the one before may be deleted.
	renewals int
	// replaced are deletions of the records under the keys before.
	replaced []keyedlog.Record
	// failing reports whether the last write or reading failed.
	failing     bool
	refreshedAt time.Duration
}

func newPublisher(r *Registry) *publisher {
	return &publisher{Registry: r, versions: newVersionSet(r), cleaner: &cleaner{deps: &r.deps, goneSince: make(map[string]time.Duration), offsets: make(map[string]int64)},
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
	p.renewKey()
	err := p.declare(ctx)
	p.tellMixed()
	p.tellUsable(err)
	if err == nil {
		err = p.publish(ctx)
	}
	if err == nil {
		err = p.learnBases(ctx)
	}
	if err != nil {
		p.askForBases(ctx)
	}
	p.tellUsable(err)
	if err != nil {
		return err
	}
	return p.refresh(ctx)
}

// renewKey gives up the mark, and the key of this node's record, if the record was written too long ago: its deletion may be on its
// way and would take a mark along that was written under the same key.
func (p *publisher) renewKey() {
	if len(p.writtenFor) > 0 && p.deps.Clock.Now()-p.writtenAt >= markLife {
		p.writtenFor = nil
		p.uncertain = true
		p.replaced = append(p.replaced, keyedlog.Record{Key: p.key(), Deleted: true})
		p.renewals++
	}
}

// key returns the key of this node's record.
func (p *publisher) key() string { return nodeKey(p.deps.Node, p.deps.Incarnation, p.renewals) }

func (p *publisher) tellUsable(err error) {
	p.markedUntil.Store(int64(p.writtenAt + markLife))
	p.setDeclared(p.versions.usable(p.writtenFor), p.versions.bases, err != nil)
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
	v, err := p.read(ctx)
	if err != nil {
		return err
	}
	missing := p.versions.undeclared()
	if len(missing) == 0 {
		return nil
	}
	records := make([]keyedlog.Record, len(missing))
	for i, o := range missing {
		if records[i], err = encodeVersion(o, v.earlier(o.Service)); err != nil {
			return err
		}
	}
	streams, err := p.due()
	if err != nil {
		return err
	}
	if err := p.appendStreams(ctx, streams, records...); err != nil {
		return err
	}
	for _, o := range missing {
		p.versions.declared[o] = true
		p.deps.Events.Record(event.VersionDeclared, "service", o.Service, "version", o.Version, "declared", true)
	}
	return nil
}

// read reads the topic and learns the versions that it holds.
func (p *publisher) read(ctx context.Context) (*view, error) {
	read := p.reader.read
	if p.failing {
		read = p.reader.readPatiently
	}
	v, err := read(ctx)
	if err != nil {
		return nil, err
	}
	p.versions.learn(v)
	return v, nil
}

// learnBases reads the topic if the base of a service with one version isn't known, as after its declaration. With several
// versions the mark will do.
func (p *publisher) learnBases(ctx context.Context) error {
	mixed := p.versions.mixed()
	if !slices.ContainsFunc(p.versions.withoutBase(), func(service string) bool { return !mixed[service] }) {
		return nil
	}
	_, err := p.read(ctx)
	return err
}

// askForBases asks other nodes for each base that isn't known, while the topic is out of reach.
func (p *publisher) askForBases(ctx context.Context) {
	peers, _ := p.deps.Peers()
	for _, service := range p.versions.withoutBase() {
		if base := p.askForBase(ctx, service, sample(peers, maxAskedForBase)); base != "" { // otherwise others are asked at the next step
			p.versions.bases[service] = base
		}
	}
}

// askForBase asks nodes at the same time for the base of a service, and returns the first one that is named.
func (p *publisher) askForBase(ctx context.Context, service string, peers []Peer) string {
	ctx, cancel := context.WithTimeout(ctx, basePeerTimeout)
	defer cancel()
	replies := make(chan Reply, len(peers))
	for _, peer := range peers {
		go func() {
			reply, _ := p.deps.Transport.Ask(ctx, peer.Address, Request{Service: service}) // one that fails names none
			replies <- reply
		}()
	}
	for range peers {
		if reply := <-replies; reply.Base != "" {
			return reply.Base
		}
	}
	return ""
}

// nodeStreams is what has to be written of this node's streams.
type nodeStreams struct {
	// records holds one record and the deletions of those that it replaces, or none if nothing changed.
	records []keyedlog.Record
	// services are those with several versions, generation is that of the table when the record was composed, count the
	// number of origins in it.
	services   map[string]bool
	generation uint64
	count      int
}

// due returns what has to be written of the streams in services with several versions.
func (p *publisher) due() (nodeStreams, error) {
	mixed := p.versions.mixed()
	attempts, generation := p.table.byOrigin(mixed)
	unchanged := generation == p.generation || len(attempts)+p.streams == 0
	fresh := p.deps.Clock.Now()-p.writtenAt < refreshInterval
	if !p.uncertain && maps.Equal(mixed, p.writtenFor) && (unchanged && fresh || len(mixed) == 0) {
		return nodeStreams{}, nil
	}
	record, err := encodeNode(p.key(), attempts, mixed)
	return nodeStreams{append([]keyedlog.Record{record}, p.replaced...), mixed, generation, len(attempts)}, err
}

// appendStreams writes this node's record behind others. A write that fails may have withdrawn a mark all the same.
func (p *publisher) appendStreams(ctx context.Context, s nodeStreams, others ...keyedlog.Record) error {
	if len(s.records) > 0 {
		p.uncertain = true
		kept := maps.Clone(p.writtenFor)
		maps.DeleteFunc(kept, func(service string, _ bool) bool { return !s.services[service] })
		p.writtenFor = kept
	}
	startedAt := p.deps.Clock.Now()
	if err := p.append(ctx, append(others, s.records...)...); err != nil {
		return err
	}
	if len(s.records) > 0 {
		p.writtenAt, p.replaced = startedAt, nil
		p.uncertain, p.writtenFor, p.generation, p.streams = false, s.services, s.generation, s.count
	}
	return nil
}

// publish writes the origins of this node's streams in services with several versions, if they changed.
func (p *publisher) publish(ctx context.Context) error {
	streams, err := p.due()
	if err != nil || len(streams.records) == 0 {
		return err
	}
	return p.appendStreams(ctx, streams)
}

// refresh reads the topic once in a while if a service has several versions, and deletes what nobody needs.
func (p *publisher) refresh(ctx context.Context) error {
	now := p.deps.Clock.Now()
	if now-p.refreshedAt < refreshInterval || len(p.versions.mixed()) == 0 {
		return nil
	}
	p.refreshedAt = now
	v, err := p.read(ctx)
	if err != nil {
		return err
	}
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
