package digest

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

func recorder() *event.Recorder {
	return event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "n", 16, log.NewNopLogger())
}

func entry(id string, sequence int64) directory.Entry {
	return directory.Entry{ID: id, Service: "s", Address: id + ":1", DataCentre: "dc", Slots: 8, State: directory.Ready, Born: 5, Sequence: sequence}
}

func keeper(topic keyedlog.Topic, name string, ready *[]directory.Entry) *Keeper {
	return &Keeper{Topic: topic, Producer: name, Mine: func() bool { return true }, Ready: func() []directory.Entry { return *ready }, Events: recorder()}
}

// follower is a node that follows a digest.
func follower(topic keyedlog.Topic) (*keyedlog.Follower, *Reader, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	r := &Reader{Table: directory.NewTable(clock), Clock: clock, Events: recorder()}
	return keyedlog.NewFollower(topic, r, keyedlog.Options{Slack: time.Second}), r, clock
}

func ids(r *Reader) []string {
	var names []string
	for _, u := range r.Table.Current().Upstreams("s") {
		names = append(names, u.ID)
	}
	return names
}

// Upstreams join, leave and beat. Nodes that follow the digest must know the same ones as
// those that read all entries, and heartbeats alone must not be written.
func TestDigestTellsWhatChanged(t *testing.T) {
	is := is.New(t)
	ctx, topic := context.Background(), memtopic.New()
	ready := []directory.Entry{entry("a", 1), entry("b", 1)}
	k := keeper(topic, "k1", &ready)
	is.NoErr(k.Step(ctx))
	f, r, _ := follower(topic)
	is.NoErr(f.Step(ctx))
	is.Equal(ids(r), []string{"a", "b"})
	is.True(r.Fresh())

	length := topic.Len()
	ready = []directory.Entry{entry("a", 2), entry("b", 2)}
	is.NoErr(k.Step(ctx))
	is.Equal(topic.Len(), length)

	ready = []directory.Entry{entry("b", 3), entry("c", 1)}
	is.NoErr(k.Step(ctx))
	is.NoErr(f.Step(ctx))
	is.Equal(ids(r), []string{"b", "c"})
}

// Nobody has kept the digest yet, or its keepers are gone. A node that believed it would
// know no upstream, or send work to those that left long ago.
func TestUnkeptDigestIsNotBelieved(t *testing.T) {
	is := is.New(t)
	ctx, topic := context.Background(), memtopic.New()
	f, r, clock := follower(topic)
	r.Table.Put(entry("known", 1))
	is.NoErr(f.Step(ctx))
	is.True(!r.Fresh())
	is.Equal(ids(r), []string{"known"})
	ready := []directory.Entry{entry("a", 1)}
	is.NoErr(keeper(topic, "k1", &ready).Step(ctx))
	is.NoErr(f.Step(ctx))
	is.True(r.Fresh())
	clock.Advance(StaleAfter + time.Millisecond)
	is.True(!r.Fresh())
}

// A keeper dies, an upstream leaves, and another node takes the digest up. What the first
// one wrote must not keep the upstream alive.
func TestNextKeeperTakesOutWhatIsGone(t *testing.T) {
	is := is.New(t)
	ctx, topic := context.Background(), memtopic.New()
	first := []directory.Entry{entry("a", 1), entry("b", 1)}
	is.NoErr(keeper(topic, "k1", &first).Step(ctx))
	is.NoErr(topic.Append(ctx, keyedlog.Fence{}, keyedlog.Record{Key: "torn", Value: []byte("{")}))
	second := []directory.Entry{entry("b", 2)}
	is.NoErr(keeper(topic, "k2", &second).Step(ctx))
	f, r, _ := follower(topic)
	is.NoErr(f.Step(ctx))
	is.Equal(ids(r), []string{"b"})
}
