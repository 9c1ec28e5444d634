package keyedlog

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/internal/stall"
)

// watch is how a reading of the newest records is watched for a store that is silent.
//
// A request that reaches a silent store is never answered, also not when the store is back.
// A node that starts meanwhile would wait for the whole limit of the reading, seconds after
// other nodes and the store are well. So a small question is asked beside the reading again
// and again: once one is answered while the reading isn't, the reading is lost and begins
// anew.
type watch struct {
	// after is how long a reading may go without an answer before the first question.
	after time.Duration
	// every is the pause between questions. It grows with each one by a growth-th of itself
	// up to most, so that a large fleet doesn't fill a store that is long away.
	every, most time.Duration
	// question bounds the wait for an answer to a question.
	question time.Duration
	// grace is how much longer than a question the reading may take to be answered. It
	// doubles with each lost reading, so that a full link delays one and loses none.
	grace time.Duration
}

// growth divides the pause between questions into what is added to it.
const growth = 10

// usualWatch: a store that answers does so within a few round trips between regions.
var usualWatch = watch{
	after:    200 * time.Millisecond,
	every:    150 * time.Millisecond,
	most:     500 * time.Millisecond,
	question: 350 * time.Millisecond,
	grace:    100 * time.Millisecond,
}

// newest is the outcome of one reading.
type newest struct {
	records []Record
	next    int64
	err     error
}

// ReadNewest reads the newest record of each key of a topic. It waits as long as ctx lasts
// and begins anew when the store was silent and is back, or the answer stalls.
func ReadNewest(ctx context.Context, topic Topic) ([]Record, int64, error) {
	n := usualWatch.read(ctx, topic, stall.Unlimited)
	return n.records, n.next, n.err
}

// read reads until an answer is whole. patience bounds the time in which none begins to
// arrive.
func (w watch) read(ctx context.Context, topic Topic, patience time.Duration) newest {
	patient, begun, cancel := stall.Limit(ctx, patience, patience)
	defer cancel()
	for {
		n, answered := w.try(patient, topic, begun)
		if answered {
			return n
		}
		w.grace *= 2
	}
}

// try reads once; false tells that the reading was lost.
func (w watch) try(ctx context.Context, topic Topic, begun func()) (newest, bool) {
	own, arriving, cancel := stall.Limit(ctx, stall.Unlimited, stalledAfter)
	defer cancel()
	heard, done := make(chan struct{}, 1), make(chan newest, 1)
	go func() {
		records, next, err := topic.Newest(own, func() {
			arriving()
			begun()
			select {
			case heard <- struct{}{}:
			default:
			}
		})
		done <- newest{records, next, err}
	}()
	answers := w.storeAnswers(own, topic)
	for {
		select {
		case n := <-done:
			return n, n.err == nil || !stall.Ended(own)
		case <-ctx.Done():
			return newest{err: context.Cause(ctx)}, true
		case <-heard:
			answers = nil
		case <-answers:
			return newest{}, false
		}
	}
}

// storeAnswers returns a channel that is closed once a question was answered and the grace
// has passed.
func (w watch) storeAnswers(ctx context.Context, topic Topic) <-chan struct{} {
	answers := make(chan struct{})
	var once sync.Once
	ask := func() {
		question, cancel := context.WithTimeout(ctx, w.question)
		defer cancel()
		if topic.Probe(question) == nil && sleep(ctx, w.grace) {
			once.Do(func() { close(answers) })
		}
	}
	go func() {
		pause := w.every
		for wait := w.after; sleep(ctx, wait); wait = pause {
			go ask()
			pause = min(w.most, pause+pause/growth)
		}
	}()
	return answers
}

// sleep tells whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
