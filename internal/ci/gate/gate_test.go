package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func judged(run string, known knownRed) (bool, string) {
	var w strings.Builder
	ok := read(strings.NewReader(run)).judge(&w, known)
	return ok, w.String()
}

const onePass = `{"Action":"pass","Package":"p","Test":"TestFine"}` + "\n"

// A test fails that nobody named. CI must fail, and its last lines must say why.
func TestUnknownFailureFails(t *testing.T) {
	is := is.New(t)
	ok, printed := judged(onePass+
		`{"Action":"output","Package":"p","Test":"TestNew","Output":"the cause\n"}`+"\n"+
		`{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n"+
		`{"Action":"fail","Package":"p"}`+"\n", knownRed{"TestOld (go test p): cause; issue 4"})
	is.True(!ok)
	is.True(strings.HasSuffix(printed, "the cause\nFAILED: TestNew\n1 passed, 1 failed, 0 skipped\n"))
}

// A test that KNOWN-RED.txt names fails, and so does a subtest of it. CI passes and
// prints the line.
func TestKnownRedPassesAndIsPrinted(t *testing.T) {
	is := is.New(t)
	ok, printed := judged(onePass+
		`{"Action":"fail","Package":"p","Test":"TestOld/sub"}`+"\n"+
		`{"Action":"fail","Package":"p","Test":"TestOld"}`+"\n", knownRed{"TestOld (go test p): cause; issue 4"})
	is.True(ok)
	is.True(strings.Contains(printed, "KNOWN RED (2 failed): TestOld (go test p): cause; issue 4"))
}

// A package doesn't build, or its process dies. No test of it fails, and CI must
// fail nevertheless. So it must when no test ran at all.
func TestBrokenPackageAndEmptyRunFail(t *testing.T) {
	is := is.New(t)
	ok, printed := judged(onePass+`{"Action":"fail","Package":"q"}`+"\n", nil)
	is.True(!ok)
	is.True(strings.Contains(printed, "FAILED: q without a failing test"))
	ok, _ = judged("", nil)
	is.True(!ok)
}

// Guards against a test that passes for known red because an entry of another one mentions it.
func TestEntryExcusesOnlyTheTestItNames(t *testing.T) {
	is := is.New(t)
	ok, _ := judged(onePass+
		`{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n", knownRed{"TestOld (go test p): like TestNew but older; issue 4"})
	is.True(!ok)
}

// Guards against a broken rule that has no room on the list, beside tests that may fail.
func TestEntriesForRulesAllowNoTestFailure(t *testing.T) {
	is := is.New(t)
	known := knownRed{"rule CONFIG (a command): seen once; issue 4", "TestOld (go test p): cause; issue 4"}
	is.Equal(known.tests(), []string{"TestOld"})
	ok, printed := judged(onePass, known)
	is.True(ok)
	is.True(strings.Contains(printed, "KNOWN RED (0 failed): rule CONFIG (a command): seen once; issue 4"))
}
