package keyedlog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// silentTopic answers nothing that reaches it while it is silent, and never later.
type silentTopic struct {
	memoryTopic
	mu        sync.Mutex
	silent    bool
	readings  int
	questions int
	// wakeAfter is how many questions are lost before the store is back.
	wakeAfter int
	// pieces is how many pieces an answer has, each of which takes apart to come.
	pieces int
	apart  time.Duration
}

// counts returns how many readings and questions there were, once nothing runs any more.
func (s *silentTopic) counts() (readings, questions int) {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readings, s.questions
}

func (s *silentTopic) Newest(ctx context.Context, progress func()) ([]Record, int64, error) {
	s.mu.Lock()
	s.readings++
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	for range s.pieces {
		progress()
		if !sleep(ctx, s.apart) {
			return nil, 0, ctx.Err()
		}
	}
	return s.memoryTopic.Newest(ctx, progress)
}

func (s *silentTopic) Probe(ctx context.Context) error {
	s.mu.Lock()
	s.questions++
	if s.questions > s.wakeAfter {
		s.silent = false
	}
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// A fleet loses power and starts while the store is silent. What its nodes ask for then is
// never answered; callers would get nothing for seconds after the store is back.
func TestRestartsReadOnceSilentStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &silentTopic{silent: true, wakeAfter: 3}
		topic.put("a", "1")
		records, _, err := ReadNewest(t.Context(), topic)
		is.NoErr(err)
		is.Equal(len(records), 1)
		readings, questions := topic.counts()
		is.Equal(readings, 2)
		is.True(questions >= 4)
	})
}

// All nodes share one slow link after a fault. An answer that keeps arriving must not be asked
// for again, however long the whole takes: that would only fill the link.
func TestKeepsReadThatStillArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &silentTopic{pieces: 30, apart: time.Second}
		topic.put("a", "1")
		f := NewFollower(topic, &sink{}, Options{})
		is.NoErr(f.Poll(t.Context()))
		readings, _ := topic.counts()
		is.Equal(readings, 1)
	})
}

// The store stays silent. The reading ends with its time.
func TestReadEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &silentTopic{silent: true, wakeAfter: 1 << 30}
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 20*usualWatch.after)
		defer cancel()
		_, _, err := ReadNewest(ctx, topic)
		is.True(err != nil)
		is.Equal(time.Since(begun), 20*usualWatch.after)
	})
}
