package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func runGate(events string, known knownFailures) (bool, string) {
	var w strings.Builder
	ok := readEvents(strings.NewReader(events)).report(&w, known)
	return ok, w.String()
}

const onePassingTest = `{"Action":"pass","Package":"p","Test":"TestFine"}` + "\n"

// A failing test that has no entry must fail CI, and the last lines must show the cause.
func TestUnknownFailureFails(t *testing.T) {
	is := is.New(t)
	ok, printed := runGate(onePassingTest+
		`{"Action":"output","Package":"p","Test":"TestNew","Output":"the cause\n"}`+"\n"+
		`{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n"+
		`{"Action":"fail","Package":"p"}`+"\n", knownFailures{"TestOld (go test p): cause; issue 4"})
	is.True(!ok)
	is.True(strings.HasSuffix(printed, "the cause\nFAILED: TestNew\n1 passed, 1 failed, 0 skipped\n"))
}

// If a test named in KNOWN-RED.txt and one of its subtests fail, CI must pass and print the
// entry.
func TestKnownRedPassesAndIsPrinted(t *testing.T) {
	is := is.New(t)
	ok, printed := runGate(onePassingTest+
		`{"Action":"output","Package":"p","Test":"TestOld/sub","Output":"the cause\n"}`+"\n"+
		`{"Action":"fail","Package":"p","Test":"TestOld/sub"}`+"\n"+
		`{"Action":"fail","Package":"p","Test":"TestOld"}`+"\n", knownFailures{"TestOld (go test p): cause; issue 4"})
	is.True(ok)
	is.True(strings.HasPrefix(printed, "the cause\n"))
	is.True(strings.Contains(printed, "KNOWN RED (2 failed): TestOld (go test p): cause; issue 4"))
}

// A package that doesn't build or whose process dies reports no failing test, and CI must
// fail nevertheless. CI must also fail if no test ran at all.
func TestBrokenPackageAndEmptyRunFail(t *testing.T) {
	is := is.New(t)
	ok, printed := runGate(onePassingTest+`{"Action":"fail","Package":"q"}`+"\n", nil)
	is.True(!ok)
	is.True(strings.Contains(printed, "FAILED: q without a failing test"))
	ok, _ = runGate("", nil)
	is.True(!ok)
}

// Guards against hiding why a test process died: the cause is in the output of the test that ran.
func TestOutputOfUnfinishedTestsIsPrinted(t *testing.T) {
	is := is.New(t)
	_, printed := runGate(onePassingTest+
		`{"Action":"output","Package":"q","Test":"TestRunning","Output":"SIGSEGV\n"}`+"\n"+
		`{"Action":"fail","Package":"q"}`+"\n", nil)
	is.True(strings.Contains(printed, "didn't end: TestRunning\nSIGSEGV\n"))
}

// Guards against excusing a failing test because the entry of another test mentions it.
func TestEntryExcusesOnlyTheTestItNames(t *testing.T) {
	is := is.New(t)
	ok, _ := runGate(onePassingTest+
		`{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n", knownFailures{"TestOld (go test p): like TestNew but older; issue 4"})
	is.True(!ok)
}

// Entries for broken rules must fit on the list beside the tests that may fail: they must be
// printed and must not count as tests.
func TestEntriesForRulesAllowNoTestFailure(t *testing.T) {
	is := is.New(t)
	known := knownFailures{"rule CONFIG (a command): seen once; issue 4", "TestOld (go test p): cause; issue 4"}
	is.Equal(known.testNames(), []string{"TestOld"})
	ok, printed := runGate(onePassingTest, known)
	is.True(ok)
	is.True(strings.Contains(printed, "KNOWN RED (0 failed): rule CONFIG (a command): seen once; issue 4"))
}

// Guards against passing a package whose process died behind a listed failure, with all its tests that didn't run.
func TestPackageThatDiesBehindListedFailureFails(t *testing.T) {
	const listedFailure = onePassingTest + `{"Action":"fail","Package":"q","Test":"TestOld"}` + "\n"
	const packageResult = `{"Action":"output","Package":"q","Output":"FAIL\tq\t1.0s\n"}` + "\n" + `{"Action":"fail","Package":"q"}` + "\n"
	const testsEnded = `{"Action":"output","Package":"q","Output":"FAIL\n"}` + "\n"
	const running = `{"Action":"output","Package":"q","Test":"TestRunning","Output":"panic: test timed out\n"}` + "\n"
	is := is.New(t)
	known := knownFailures{"TestOld (go test q): cause; issue 4"}
	ok, printed := runGate(listedFailure+running+packageResult, known)
	is.True(!ok)
	is.True(strings.Contains(printed, "didn't end: TestRunning\npanic: test timed out\n"))
	is.True(strings.Contains(printed, "FAILED: q ended before its tests"))
	ok, _ = runGate(listedFailure+packageResult, known) // the listed test itself ended the process
	is.True(!ok)
	ok, _ = runGate(listedFailure+testsEnded+packageResult, known)
	is.True(ok)
}
