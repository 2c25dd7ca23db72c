package main

import (
	"fmt"
	"io"
	"strings"
)

// judge reports whether every test passed but the known failures, and prints what
// failed. goTestFailed is what go test itself says: a failure that no test
// accounts for fails the run.
func judge(results testResults, known []knownFailure, goTestFailed bool, w io.Writer) bool {
	excused, ok := excuse(results, known, w)
	failures := results.failures()
	for _, id := range failures {
		if isExcused(id, failures, excused) {
			continue
		}
		ok = false
		if id.test != "" {
			printTo(w, fmt.Sprintf("%s: %s\n%s", id.pkg, id.test, results.outputs[id]))
		}
	}
	if goTestFailed && len(failures) == 0 {
		printTo(w, "go test failed without a failed test\n")
		ok = false
	}
	return ok
}

// excuse returns the tests that failed and are listed, and prints what became of
// each that is listed. The list is not ok if it names a test that was skipped or
// is no test.
func excuse(results testResults, known []knownFailure, w io.Writer) (excused map[testID]bool, ok bool) {
	excused, ok = map[testID]bool{}, true
	for _, k := range known {
		found := false
		for id, action := range results.actions {
			if !k.matches(id) {
				continue
			}
			found = true
			switch action {
			case actionFail:
				excused[id] = true
				printTo(w, fmt.Sprintf("known failure: %s %s\n", k.name(), k.cause))
			case actionPass:
				printTo(w, fmt.Sprintf("passes again, take it off %s: %s\n", knownFailuresFile, k.name()))
			default:
				printTo(w, fmt.Sprintf("listed in %s and skipped: %s\n", knownFailuresFile, k.name()))
				ok = false
			}
		}
		if !found {
			printTo(w, fmt.Sprintf("listed in %s and no test: %s\n", knownFailuresFile, k.name()))
			ok = false
		}
	}
	return excused, ok
}

// isExcused reports whether a failure is known, part of a known one, or that of
// something whose failed parts are all known: a package, or a test with subtests.
func isExcused(id testID, failures []testID, excused map[testID]bool) bool {
	if excused[id] || isPartOfExcused(id, excused) {
		return true
	}
	parts := 0
	for _, failure := range failures {
		if !isPart(failure, id) {
			continue
		}
		parts++
		if !isExcused(failure, failures, excused) {
			return false
		}
	}
	return parts > 0 // a failure without failed parts is its own
}

// isPartOfExcused reports whether a test that contains this one is excused.
func isPartOfExcused(id testID, excused map[testID]bool) bool {
	for i, char := range id.test {
		if char == '/' && excused[testID{pkg: id.pkg, test: id.test[:i]}] {
			return true
		}
	}
	return false
}

// isPart reports whether a test is a subtest of another, or a test of a package.
func isPart(part, whole testID) bool {
	if part == whole || part.pkg != whole.pkg {
		return false
	}
	return whole.test == "" || strings.HasPrefix(part.test, whole.test+"/")
}

// printTo prints a text. What can't be printed changes no verdict: the exit code
// still tells.
func printTo(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
