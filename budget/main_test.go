package budget

import (
	"flag"
	"os"
	"testing"
)

// TestMain pins the seed of generated tests, so that CI gives the same verdict on
// every run; -rapid.seed explores others.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}
