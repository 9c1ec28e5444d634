package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against forgetting at once a version at which streams began that callers may still take up: the last of its
// upstreams left, or came back under its ID as another version.
func TestVersionsOfUpstreamsThatLeftAreRemembered(t *testing.T) {
	is := is.New(t)
	table, clock := newEmptyTable()
	entry := Entry{ID: "a", Service: "s", Version: "v1", State: Ready, StartedAt: 1}
	table.Put(entry)
	is.Equal(table.Versions("s", time.Minute), []string{"v1"})
	entry.Version, entry.StartedAt = "v2", 2
	table.Put(entry)
	is.Equal(table.Versions("s", time.Minute), []string{"v1", "v2"})
	clock.Advance(30 * time.Second)
	table.Remove("a")
	is.Equal(table.Versions("s", time.Minute), []string{"v1", "v2"})
	clock.Advance(31 * time.Second)
	is.Equal(table.Versions("s", time.Minute), []string{"v2"})
	is.Equal(len(table.Versions("other", time.Minute)), 0)
}

// BenchmarkVersions measures one look at the versions of all services of a large fleet.
func BenchmarkVersions(b *testing.B) {
	table, _ := newEmptyTable()
	services := make([]string, 38)
	for i := range services {
		services[i] = fmt.Sprint("s", i)
	}
	updates := make([]Update, 3900)
	for i := range updates {
		updates[i].Entry = Entry{ID: fmt.Sprint(i), Service: services[i%len(services)], Version: "v1", State: Ready, StartedAt: 1}
	}
	table.Apply(updates)
	for b.Loop() {
		for _, s := range services {
			table.Versions(s, time.Minute)
		}
	}
}
