package budget

import (
	"flag"
	"os"
	"testing"
)

// TestMain pins the seed of the property tests, so that CI gives the same result on every run;
// -rapid.seed explores others. It sets long histories: a settlement applied twice needs seven
// actions in the right order.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.nofailfile", "true")
		_ = flag.Set("rapid.steps", "150")
		_ = flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}
