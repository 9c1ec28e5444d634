package stall

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// An answer that never begins, or stops midway, must be given up; one that is long must not.
func TestTimeoutBoundsSilenceNotDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		silent, _, cancel := WithTimeout(t.Context(), 3*time.Second, time.Second)
		defer cancel()
		<-silent.Done()
		is.True(TimedOut(silent))
		is.Equal(time.Since(begun), 3*time.Second)

		long, progress, cancelLong := WithTimeout(t.Context(), 3*time.Second, time.Second)
		for range 20 {
			progress()
			time.Sleep(900 * time.Millisecond)
		}
		is.NoErr(long.Err())
		cancelLong()
		is.True(long.Err() != nil)
		is.True(!TimedOut(long))
	})
}
