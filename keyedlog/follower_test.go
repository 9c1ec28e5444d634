package keyedlog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// memoryTopic is an in-memory topic whose first retained offset and error a test sets.
type memoryTopic struct {
	records     []Record
	firstOffset int64
	err         error
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
	return out, int64(len(m.records)), m.err
}

func (m *memoryTopic) Read(_ context.Context, from int64, _ time.Duration, _ func()) ([]Record, int64, error) {
	if from < m.firstOffset {
		return nil, 0, ErrOffsetExpired
	}
	return append([]Record(nil), m.records[min(from, int64(len(m.records))):]...), int64(len(m.records)), m.err
}

func (m *memoryTopic) End(context.Context) (int64, error) { return int64(len(m.records)), m.err }

func (m *memoryTopic) Probe(context.Context) error { return m.err }

func (m *memoryTopic) Append(context.Context, Fence, ...Record) error { return nil }

// sink is a Handler that collects records.
type sink struct {
	values           map[string]string
	resets, failures int
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

func (s *sink) ReadFailed(error)        { s.failures++ }
func (s *sink) ReadSucceeded(ReadStats) {}

// The store drops its history while a node is disconnected. The node must still learn which
// keys changed or were deleted meanwhile.
func TestResetsWhenOffsetExpired(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.put("a", "")
	topic.put("b", "2")
	topic.firstOffset = 3
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.resets, 2)
	is.Equal(s.values, map[string]string{"b": "2"})
}

// A read of the newest records may be seconds behind earlier reads. An older value would
// restore a revoked key or an upstream that has left.
func TestStaleRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.put("a", "2")
	is.NoErr(f.Poll(context.Background()))
	f.nextOffset = 0
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.values["a"], "2")
}

// When the store fails, the last good state must stay and the failure must be reported.
func TestFailedReadKeepsState(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{RetryPause: time.Millisecond, Slack: time.Second})
	is.NoErr(f.Poll(context.Background()))
	topic.err = errors.New("away")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	is.True(s.failures > 0)
	is.Equal(s.values["a"], "1")
}

// Many large configurations are written while a node is disconnected. Reading all of them
// afterwards exceeds the read timeout, so the node would never catch up; it must read only
// the newest one.
func TestReadsOnlyNewestAfterFailure(t *testing.T) {
	is := is.New(t)
	topic, s := &memoryTopic{}, &sink{}
	topic.put("a", "1")
	f := NewFollower(topic, s, Options{})
	is.NoErr(f.Poll(context.Background()))
	topic.err = errors.New("cut off")
	is.True(f.Poll(context.Background()) != nil)
	for range 100 {
		topic.put("a", "2")
	}
	topic.put("a", "3")
	topic.err = nil
	is.NoErr(f.Poll(context.Background()))
	is.Equal(s.resets, 2)
	is.Equal(s.values["a"], "3")
}
