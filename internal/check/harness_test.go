package check

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

// runCell runs a cell in virtual time.
func runCell(t *testing.T, cell Cell) (*Record, Coverage) {
	t.Helper()
	var record *Record
	var coverage Coverage
	synctest.Test(t, func(*testing.T) { record, coverage = cell.Run(fake.NewClock()) })
	return record, coverage
}

// Without faults every invariant holds, and every request is answered or correctly refused.
func TestNoFault(t *testing.T) {
	is := is.New(t)
	record, _ := runCell(t, Cell{Seed: 1})
	violations := Check(record)
	for _, v := range violations {
		t.Log(v)
	}
	is.Equal(len(violations), 0)
	is.True(len(record.Chats) > 50)
}
