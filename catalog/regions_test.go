package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is served in a region which only its route or only its client account allows.
func TestBothSetsOfRegionsBind(t *testing.T) {
	is := is.New(t)
	north, both := OnlyRegions("north"), OnlyRegions("north", "south")
	is.True(north.Intersect(both).Allow("north"))
	is.True(!north.Intersect(both).Allow("south"))
	none := north.Intersect(OnlyRegions("south"))
	is.True(none.Limited())
	is.True(!none.Allow("north") && !none.Allow("south") && !none.Allow(""))
	is.True(!none.Intersect(both).Allow("north"))
	is.True(OnlyRegions().Allow("anywhere"))
	is.True(!OnlyRegions().Intersect(north).Allow("south"))
	is.True(!north.Intersect(OnlyRegions()).Allow("south"))
}
