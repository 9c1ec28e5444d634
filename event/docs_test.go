package event

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const docsPath = "../docs/EVENTS.md"

// The catalogue must list what the code records. UPDATE_DOCS=1 writes it anew.
func TestDocsListAllEvents(t *testing.T) {
	is := is.New(t)
	want := renderCatalogue()
	if os.Getenv("UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(docsPath, []byte(want), 0o644))
	}
	held, err := os.ReadFile(docsPath)
	is.NoErr(err)
	is.Equal(string(held), want)
}

func renderCatalogue() string {
	var numbers []Number
	for number := range All() {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	var text strings.Builder
	text.WriteString("# Events\n\nEvery decision of a node is one of these events, in its log and in the time line (`lavenderctl timeline`).\n\n" +
		"This page is written by `UPDATE_DOCS=1 go test ./event`; a test compares it with the code.\n\n" +
		"| Number | Name | Meaning |\n|---|---|---|\n")
	for _, number := range numbers {
		fmt.Fprintf(&text, "| %d | %s | %s |\n", number, number.Kind().Name, number.Kind().Meaning)
	}
	return text.String()
}
