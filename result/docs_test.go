package result

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const docsPath = "../docs/RESULT-CODES.md"

// The docs table must list what the code answers. UPDATE_DOCS=1 writes it anew.
func TestDocsListAllCodes(t *testing.T) {
	is := is.New(t)
	want := renderTable()
	if os.Getenv("UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(docsPath, []byte(want), 0o644))
	}
	held, err := os.ReadFile(docsPath)
	is.NoErr(err)
	is.Equal(string(held), want)
}

func renderTable() string {
	var codes []Code
	for code := range All() {
		codes = append(codes, code)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	var text strings.Builder
	text.WriteString("# Result codes\n\nEvery refusal or failure carries one of these, over HTTP in the field `error.code` and over gRPC at the start of the status message. " +
		"\"Not run\" means that the request certainly did not run at an upstream. \"Retry\" means that the same request can help later; the answer says when.\n\n" +
		"This page is written by `UPDATE_DOCS=1 go test ./result`; a test compares it with the code.\n\n" +
		"| Code | Name | HTTP | gRPC | Retry | Not run | Meaning |\n|---|---|---|---|---|---|---|\n")
	for _, code := range codes {
		info := code.Info()
		fmt.Fprintf(&text, "| %d | %s | %d | %s | %s | %s | %s |\n", code, info.Name, info.HTTP, info.GRPC, yesNo(info.Retry), yesNo(info.NotRun), info.Meaning)
	}
	return text.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
