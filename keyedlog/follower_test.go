package keyedlog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memoryTopic is a topic that forgets when told to.
type memoryTopic struct {
	records []Record
	first   int64
	fail    error
}

func (m *memoryTopic) put(key, value string) {
	m.records = append(m.records, Record{Key: key, Value: []byte(value), Offset: int64(len(m.records)), Deleted: value == ""})
}

func (m *memoryTopic) Newest(_ context.Context, progress func()) ([]Record, int64, error) {
	progress()
	newest := make(map[string]Record)
	for _, r := range m.records {
		newest[r.Key] = r
	}
	var out []Record
	for _, r := range newest {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out, int64(len(m.records)), m.fail
}

func (m *memoryTopic) Read(_ context.Context, from int64, _ time.Duration, _ func()) ([]Record, int64, error) {
	if from < m.first {
		return nil, 0, ErrOffsetExpired
	}
	return append([]Record(nil), m.records[min(from, int64(len(m.records))):]...), int64(len(m.records)), m.fail
}

func (m *memoryTopic) End(context.Context) (int64, error) { return int64(len(m.records)), m.fail }

func (m *memoryTopic) Probe(context.Context) error { return m.fail }

func (m *memoryTopic) Append(context.Context, Fence, ...Record) error { return nil }

// sink collects what a follower hands on.
type sink struct {
	values       map[string]string
	resets, lost int
}

func (s *sink) Reset(records []Record) {
	s.resets++
	s.values = make(map[string]string)
	s.Apply(records)
}

func (s *sink) Apply(records []Record) {
	for _, r := range records {
		if r.Deleted {
			delete(s.values, r.Key)
			continue
		}
		s.values[r.Key] = string(r.Value)
	}
}

func (s *sink) ReadFailed(error)        { s.lost++ }
func (s *sink) ReadSucceeded(ReadStats) {}

// The store forgets its history while a node is cut off. The node must learn what changed
// meanwhile all the same, and what is gone.
func TestResetsWhenOffsetExpired(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.put("a", "")
	topic.put("b", "2")
	topic.first = 3
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.resets, 2)
	is.Equal(s.values, map[string]string{"b": "2"})
}

// A reading of the newest records is seconds behind what was read before. An older value
// would bring a withdrawn key or an upstream that left back.
func TestStaleRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.put("a", "2")
	is.NoErr(f.Poll(context.Background()))
	f.next = 0
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.values["a"], "2")
}

// The store fails. The last good state stays, and the loss is told.
func TestFailedReadKeepsState(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{RetryPause: time.Millisecond, Slack: time.Second})
	is.NoErr(f.Poll(context.Background()))
	topic.fail = errors.New("away")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	is.True(s.lost > 0)
	is.Equal(s.values["a"], "1")
}

// A node is cut off while many large configurations are written. Reading all of them
// afterwards takes longer than a reading may, so that the node would stay behind for as
// long as it tries; it must take the newest one alone.
func TestReadsOnlyNewestAfterFailure(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.fail = errors.New("cut off")
	is.True(f.Poll(context.Background()) != nil)
	for range 100 {
		topic.put("a", "2")
	}
	topic.put("a", "3")
	topic.fail = nil
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.resets, 2)
	is.Equal(s.values["a"], "3")
}
