package check

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	repository   = "../.."
	promisesPage = repository + "/docs/PROMISES.md"
)

// testName is how the page names a test: the package's folder, a dot, the function.
var testName = regexp.MustCompile("`([a-z0-9_/]+)\\.((?:Test|Fuzz)[A-Za-z0-9_]+)`")

// A page that names tests which were renamed or removed proves nothing, and nobody
// notices until the proof is needed.
func TestPromisesNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(promisesPage)
	is.NoErr(err)
	named := testName.FindAllStringSubmatch(string(page), -1)
	is.True(len(named) > 10)
	for _, name := range named {
		if !hasTest(t, filepath.Join(repository, name[1]), name[2]) {
			t.Errorf("docs/PROMISES.md names %s.%s, which no _test.go holds", name[1], name[2])
		}
	}
}

func hasTest(t *testing.T, folder, function string) bool {
	t.Helper()
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	is.NoErr(err)
	for _, file := range files {
		source, err := os.ReadFile(file)
		is.NoErr(err)
		if strings.Contains(string(source), "func "+function+"(") {
			return true
		}
	}
	return false
}

// The page has a section for each promise that the checkers judge.
func TestPromisesPageHasEveryPromise(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(promisesPage)
	is.NoErr(err)
	for _, promise := range Invariants() {
		if !strings.Contains(string(page), "`"+string(promise)+"`") {
			t.Errorf("docs/PROMISES.md lacks %q", promise)
		}
	}
}
