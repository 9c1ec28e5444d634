package config

import (
	"fmt"
	"runtime"
	"testing"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// The configuration size expected after two years, see docs/CAPACITY.md.
const (
	scaleAccounts  = 43_000
	scaleBudgets   = 220_000
	scaleUpstreams = 3_900
)

func scaleState() *State {
	s := NewState(nil)
	offset := uint64(0)
	set := func(changes ...*operatorv1.Change) {
		offset++
		s.Apply(fold.Position{Offset: offset}, &recordv1.Entry{Body: &recordv1.Entry_Config{
			Config: &recordv1.ConfigChange{ChangeId: fmt.Sprint(offset), Changes: changes}}})
	}
	var changes []*operatorv1.Change
	add := func(r *operatorv1.Resource) {
		changes = append(changes, &operatorv1.Change{AnyVersion: true, Resource: r})
	}
	for i := range scaleAccounts {
		add(&operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
			Name: fmt.Sprintf("account-%d", i), Team: "team", KeySha256: []string{HashKey(fmt.Sprint(i))}}}})
	}
	for i := range scaleBudgets {
		add(&operatorv1.Resource{Kind: &operatorv1.Resource_Budget{Budget: &operatorv1.Budget{
			Name: fmt.Sprintf("budget-%d", i), Account: fmt.Sprintf("account-%d", i%scaleAccounts),
			Services: []string{fmt.Sprintf("service-%d", i/scaleAccounts)}}}})
	}
	for i := range scaleUpstreams {
		add(&operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: &operatorv1.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Service: fmt.Sprintf("service-%d", i%38), Address: "10.0.0.1:80", Region: "r", DataCentre: "d"}}})
	}
	set(changes...)
	return s
}

// BenchmarkChangeAtScale measures one change of one account at the size expected after
// two years, and reports the memory used by the configuration.
func BenchmarkChangeAtScale(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := scaleState()
	runtime.GC()
	runtime.ReadMemStats(&after)
	offset := uint64(1)
	b.ResetTimer()
	for b.Loop() {
		offset++
		s.Apply(fold.Position{Offset: offset}, &recordv1.Entry{Body: &recordv1.Entry_Config{
			Config: &recordv1.ConfigChange{ChangeId: fmt.Sprint("c", offset), Changes: []*operatorv1.Change{{
				AnyVersion: true,
				Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Account{Account: &operatorv1.Account{
					Name: "account-7", Team: "team", KeySha256: []string{HashKey("7")}}}},
			}}}}})
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	runtime.KeepAlive(s)
}
