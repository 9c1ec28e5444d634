package recovery

import (
	"cmp"
	"slices"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// settlementEntries returns the entries that settle requests of an incarnation, sorted by
// request ID and with at most maxPerEntry requests each.
func settlementEntries(incarnation string, settlements []*recordv1.Settlement) []*recordv1.Entry {
	slices.SortFunc(settlements, func(a, b *recordv1.Settlement) int { return cmp.Compare(a.GetRequest(), b.GetRequest()) })
	var entries []*recordv1.Entry
	for part := range slices.Chunk(settlements, maxPerEntry) {
		entries = append(entries, &recordv1.Entry{Body: &recordv1.Entry_Settlements{
			Settlements: &recordv1.SettlementBatch{Incarnation: incarnation, Settlements: part},
		}})
	}
	return entries
}
