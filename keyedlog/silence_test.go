package keyedlog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// span is a time in which a store is silent.
type span struct{ from, to time.Duration }

// lossyStore holds a topic. Whatever is under way when it falls silent is never answered, also
// not when it is back. An answer arrives in pieces.
type lossyStore struct {
	memoryTopic
	mu     sync.Mutex
	begun  time.Time
	silent []span
	// pieces is how many pieces an answer has, a twentieth of a second apart.
	pieces int
}

const betweenPieces = 50 * time.Millisecond

// pass waits for d and then tells whether the store answered all the while; it hangs if not.
func (s *lossyStore) pass(ctx context.Context, d time.Duration) error {
	from := time.Since(s.begun)
	if !sleep(ctx, d) {
		return ctx.Err()
	}
	for _, silent := range s.silent {
		if from < silent.to && time.Since(s.begun) >= silent.from {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return nil
}

func (s *lossyStore) Newest(ctx context.Context, progress func()) ([]Record, int64, error) {
	for range s.pieces {
		if err := s.pass(ctx, betweenPieces); err != nil {
			return nil, 0, err
		}
		progress()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memoryTopic.Newest(ctx, progress)
}

func (s *lossyStore) Probe(ctx context.Context) error { return s.pass(ctx, time.Millisecond) }

func (s *lossyStore) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]Record, int64, error) {
	for waited := time.Duration(0); waited < wait && s.end() <= from; waited += betweenPieces {
		if err := s.pass(ctx, betweenPieces); err != nil {
			return nil, 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memoryTopic.Read(ctx, from, wait, progress)
}

func (s *lossyStore) end() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.records))
}

// write adds a record.
func (s *lossyStore) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value)
}

// lateness returns how long after the store's last return a follower knew what was written then.
func (s *lossyStore) lateness(t *testing.T) time.Duration {
	values := make(chan string, 1000)
	f := NewFollower(s, &valueSink{values: values}, Options{Wait: time.Second, Pause: 50 * time.Millisecond, Slack: 700 * time.Millisecond, RetryPause: 250 * time.Millisecond})
	s.write("config", "old")
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() { f.Run(ctx) })
	back := s.silent[len(s.silent)-1].to
	time.Sleep(back - time.Since(s.begun))
	s.write("config", "new")
	for v := range values {
		if v == "new" {
			break
		}
	}
	late := time.Since(s.begun) - back
	cancel()
	ended.Wait()
	synctest.Wait()
	return late
}

// valueSink hands on the values that a follower reads.
type valueSink struct{ values chan string }

func (s *valueSink) Reset(records []Record) { s.Apply(records) }
func (s *valueSink) Apply(records []Record) {
	for _, r := range records {
		s.values <- string(r.Value)
	}
}
func (s *valueSink) ReadFailed(error)        {}
func (s *valueSink) ReadSucceeded(ReadStats) {}

// inForceAim is within what time of its acknowledgement a change must be in force.
const inForceAim = 3 * time.Second

// A reading that meets a silent store must not outlive the silence.
func TestChangeIsReadSoonAfterOutage(t *testing.T) {
	for silence := 100 * time.Millisecond; silence <= 12*time.Second; silence += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &lossyStore{begun: time.Now(), pieces: 4, silent: []span{{2 * time.Second, 2*time.Second + silence}}}
			is.True(s.lateness(t) < inForceAim)
		})
	}
}

// The store falls silent once more while it answers what was asked after its return.
func TestChangeIsReadSoonAfterOutageDuringResponse(t *testing.T) {
	for _, answering := range []time.Duration{200, 400, 600, 800, 1000} {
		for _, silence := range []time.Duration{100, 300, 1000} {
			t.Run(fmt.Sprintf("%d-%d", answering, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					again := 11*time.Second + answering*time.Millisecond
					s := &lossyStore{begun: time.Now(), pieces: 16, silent: []span{{2 * time.Second, 11 * time.Second}, {again, again + silence*time.Millisecond}}}
					is.True(s.lateness(t) < inForceAim)
				})
			})
		}
	}
}
