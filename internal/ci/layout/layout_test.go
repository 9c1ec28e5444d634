package layout

import (
	"fmt"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root     = "../../.."
	docsPath = root + "/docs/LAYOUT.md"
)

// docs/LAYOUT.md must list every package with the first sentence of its package comment.
// UPDATE_DOCS=1 regenerates the page.
func TestDocsListAllPackages(t *testing.T) {
	is := is.New(t)
	want := render(t)
	if os.Getenv("UPDATE_DOCS") != "" {
		is.NoErr(os.WriteFile(docsPath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(docsPath)
	is.NoErr(err)
	is.Equal(string(got), want)
}

func render(t *testing.T) string {
	var text strings.Builder
	text.WriteString("# Layout\n\nThe packages, each with the first sentence of its documentation (`go doc` has the rest).\n\n" +
		"This page is written by `UPDATE_DOCS=1 go test ./internal/ci/layout`; a test compares it with the code.\n\n" +
		"| Package | What it is |\n|---|---|\n")
	for _, dir := range packageDirs(t) {
		fmt.Fprintf(&text, "| `%s` | %s |\n", dir, synopsis(t, dir))
	}
	return text.String()
}

// packageDirs returns the folders that contain Go files, sorted.
func packageDirs(t *testing.T) []string {
	is := is.New(t)
	var dirs []string
	is.NoErr(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if name := entry.Name(); path != root && (strings.HasPrefix(name, ".") || name == "testdata") {
			return filepath.SkipDir
		}
		if files, err := filepath.Glob(filepath.Join(path, "*.go")); err != nil || len(files) == 0 {
			return err
		}
		dir, err := filepath.Rel(root, path)
		dirs = append(dirs, filepath.ToSlash(dir))
		return err
	}))
	return dirs
}

// synopsis returns the first sentence of a package's comment. A package without one fails
// the test: a newcomer would have to read its code to learn what it is for.
func synopsis(t *testing.T, dir string) string {
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
	is.NoErr(err)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.PackageClauseOnly|parser.ParseComments)
		is.NoErr(err)
		if parsed.Doc != nil && !strings.HasSuffix(file, "_test.go") {
			return new(doc.Package).Synopsis(parsed.Doc.Text())
		}
	}
	t.Errorf("package %s has no package comment", dir)
	return ""
}
