package latency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with what takes long, and one that leaves some of it out.
func TestLateIsDueOnceInAnInterval(t *testing.T) {
	is := is.New(t)
	l := Late{Limit: 100 * time.Millisecond, Interval: time.Second}
	_, _, due := l.Add(0, 99*time.Millisecond)
	is.True(!due)
	count, longest, due := l.Add(0, 100*time.Millisecond)
	is.True(due)
	is.Equal(count, 1)
	is.Equal(longest, 100*time.Millisecond)
	for range 4 {
		_, _, due = l.Add(999*time.Millisecond, 300*time.Millisecond)
		is.True(!due)
	}
	count, longest, due = l.Add(time.Second, 200*time.Millisecond)
	is.True(due)
	is.Equal(count, 5)
	is.Equal(longest, 300*time.Millisecond)
}

func TestBuckets(t *testing.T) {
	is := is.New(t)
	for d, name := range map[time.Duration]string{0: "le_1", time.Millisecond: "le_1", 2 * time.Millisecond: "le_2", 3 * time.Millisecond: "le_4", time.Second: "le_1024"} {
		is.Equal(Bucket(d), name)
	}
}
