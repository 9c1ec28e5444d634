package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine's queue grows under a crowd. The node must see it grow while nothing answers,
// remember it while short answers overtake, and forget it when the crowd is over.
func TestEstimatedWaitFollowsTheQueue(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	is.Equal(s.EstimatedWait(time.Hour), time.Duration(0))
	s.RecordSent(time.Hour)
	is.Equal(s.EstimatedWait(time.Hour+2*time.Second), 2*time.Second)
	s.RecordSettled(time.Hour)
	s.RecordResponseStart(2*time.Second, time.Hour+2*time.Second)
	is.Equal(s.EstimatedWait(time.Hour+2*time.Second), 2*time.Second)
	s.RecordResponseStart(10*time.Millisecond, time.Hour+2*time.Second)
	is.Equal(s.EstimatedWait(time.Hour+2*time.Second), 1500*time.Millisecond)
	is.True(s.EstimatedWait(time.Hour+10*time.Second) < 10*time.Millisecond)
}

// An upstream answers other requests while one waits: it is busy and not silent.
func TestSilenceEndsWithAnyResponse(t *testing.T) {
	is := is.New(t)
	s := &Stats{}
	is.Equal(s.Silence(time.Hour), time.Duration(0))
	s.RecordSent(time.Hour)
	is.Equal(s.Silence(time.Hour+time.Second), time.Second)
	s.RecordReceived(time.Hour + time.Second)
	is.Equal(s.Silence(time.Hour+time.Second), time.Duration(0))
	is.True(s.ReceivedWithin(time.Second, time.Hour+time.Second))
	is.True(!s.ReceivedWithin(time.Second, time.Hour+3*time.Second))
	s.RecordSettled(time.Hour)
	is.Equal(s.Silence(2*time.Hour), time.Duration(0))
}
