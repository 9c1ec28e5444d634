package check

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// play runs a cell in virtual time.
func play(t *testing.T, cell Cell) (*Record, Coverage) {
	t.Helper()
	var record *Record
	var reach Coverage
	synctest.Test(t, func(*testing.T) { record, reach = cell.Run(fake.NewClock()) })
	return record, reach
}

// Without faults every promise holds and every request is answered or truly refused.
func TestNoFault(t *testing.T) {
	is := is.New(t)
	record, _ := play(t, Cell{Seed: 1})
	violations := Check(record)
	for _, v := range violations {
		t.Log(v)
	}
	is.Equal(len(violations), 0)
	is.True(len(record.Chats) > 50)
}
