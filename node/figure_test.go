package node

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const metricsPath = "../docs/METRICS.md"

// The page must list the figures that a node publishes. UPDATE_DOCS=1 writes it anew.
func TestDocsListAllMetrics(t *testing.T) {
	is := is.New(t)
	want := renderFigures()
	if os.Getenv("UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(metricsPath, []byte(want), 0o644))
	}
	held, err := os.ReadFile(metricsPath)
	is.NoErr(err)
	is.Equal(string(held), want)
}

func renderFigures() string {
	var text strings.Builder
	text.WriteString("# Metrics\n\nA node started with `--admin IP:port` answers `GET /debug/vars` there (expvar); its own figures\n" +
		"stand in the map `lavenderpin`. They are read when asked and cost nothing otherwise.\n\n" +
		"This page is written by `UPDATE_DOCS=1 go test -run Figures ./node`; a test compares it with the code.\n\n" +
		"| Figure | Meaning |\n|---|---|\n")
	for _, f := range figures {
		fmt.Fprintf(&text, "| `%s` | %s |\n", f.name, f.meaning)
	}
	return text.String()
}
