package main

import (
	"fmt"
	"io"
	"strings"
)

// evaluate reports whether every test passed except the known failures, and prints each failure.
// goTestFailed tells whether go test itself failed. If go test failed although no test or package did,
// the run fails too.
func evaluate(results testResults, known []knownFailure, goTestFailed bool, w io.Writer) bool {
	expected, ok := checkKnownFailures(results, known, w)
	failures := results.failures()
	for _, id := range failures {
		if isExpected(id, failures, expected) {
			continue
		}
		ok = false
		if id.test != "" {
			printTo(w, fmt.Sprintf("%s: %s\n%s", id.pkg, id.test, results.outputs[id]))
		}
	}
	if goTestFailed && len(failures) == 0 {
		printTo(w, "go test failed, but no test or package did\n")
		ok = false
	}
	return ok
}

// checkKnownFailures returns the known failures that did fail, and prints the outcome of each known
// failure. ok is false if the list names a test that was skipped or that does not exist.
func checkKnownFailures(results testResults, known []knownFailure, w io.Writer) (expected map[testID]bool, ok bool) {
	expected, ok = map[testID]bool{}, true
	for _, k := range known {
		found := false
		for id, action := range results.actions {
			if !k.matches(id) {
				continue
			}
			found = true
			switch action {
			case actionFail:
				expected[id] = true
				printTo(w, fmt.Sprintf("known failure: %s %s\n", k.name(), k.cause))
			case actionPass:
				printTo(w, fmt.Sprintf("known failure now passes, remove it from %s: %s\n", knownFailuresFile, k.name()))
			default:
				printTo(w, fmt.Sprintf("test listed in %s was skipped: %s\n", knownFailuresFile, k.name()))
				ok = false
			}
		}
		if !found {
			printTo(w, fmt.Sprintf("test listed in %s does not exist: %s\n", knownFailuresFile, k.name()))
			ok = false
		}
	}
	return expected, ok
}

// isExpected reports whether a failure is expected: it is a known failure, a subtest of one, or a
// package or test in which every failed test or subtest is expected.
func isExpected(id testID, failures []testID, expected map[testID]bool) bool {
	if expected[id] || isWithinExpected(id, expected) {
		return true
	}
	failedChildren := 0
	for _, failure := range failures {
		if !isWithin(failure, id) {
			continue
		}
		failedChildren++
		if !isExpected(failure, failures, expected) {
			return false
		}
	}
	return failedChildren > 0 // a test or package without a failed child failed by itself
}

// isWithinExpected reports whether a parent of a subtest is expected to fail.
func isWithinExpected(id testID, expected map[testID]bool) bool {
	for i, char := range id.test {
		if char == '/' && expected[testID{pkg: id.pkg, test: id.test[:i]}] {
			return true
		}
	}
	return false
}

// isWithin reports whether child is a subtest of parent, or a test of parent if that is a package.
func isWithin(child, parent testID) bool {
	if child == parent || child.pkg != parent.pkg {
		return false
	}
	return parent.test == "" || strings.HasPrefix(child.test, parent.test+"/")
}

// printTo writes text to w. It ignores write errors, because the exit code reports the outcome anyway.
func printTo(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
