package event

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
)

// BenchmarkRecord measures the cost of one event on the request path.
func BenchmarkRecord(b *testing.B) {
	clock := clockwork.NewRealClock()
	r := NewRecorder(NewHLC(clock), "3f2b8c1e-5a77-4d0e-9a6c-000000000001", 20_000, log.NewNopLogger())
	b.ReportAllocs()
	for i := range b.N {
		r.Record(408, "request", "3f2b8c1e-5a77-4d0e-9a6c-000000000001.17", "account", "casco", "budget", "casco-1", "tokens", uint64(i))
	}
}

// BenchmarkRecordParallel measures recording on all cores at once, as requests do.
func BenchmarkRecordParallel(b *testing.B) {
	clock := clockwork.NewRealClock()
	r := NewRecorder(NewHLC(clock), "3f2b8c1e-5a77-4d0e-9a6c-000000000001", 20_000, log.NewNopLogger())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(0); pb.Next(); i++ {
			r.Record(408, "request", "3f2b8c1e-5a77-4d0e-9a6c-000000000001.17", "account", "casco", "budget", "casco-1", "tokens", i)
		}
	})
}
