package main

import (
	"strings"
	"testing"
)

// resultEvent returns the result event of a test, or of the package if test is empty.
func resultEvent(action, test string) string {
	event := `{"Action":"` + action + `","Package":"m/internal/server"`
	if test != "" {
		event += `,"Test":"` + test + `"`
	}
	return event + "}\n"
}

func TestOnlyKnownFailuresAreAccepted(t *testing.T) {
	for _, c := range []struct {
		name, list, events string
		goTestFailed, ok   bool
		output             string // substring
	}{
		{"all pass", "",
			resultEvent("pass", "TestA") + resultEvent("pass", ""), false, true, ""},
		{"unknown failure", "",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "TestA"},
		{"known failure", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure: internal/server.TestA c; issue 1"},
		{"known and unknown failure", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", "TestB") + resultEvent("fail", ""), true, false, "TestB"},
		{"known failure in another package", "internal/store.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "does not exist: internal/store.TestA"},
		{"known failure passes", "internal/server.TestA c; issue 1",
			resultEvent("pass", "TestA") + resultEvent("pass", ""), false, true, "known failure now passes"},
		{"known failure is skipped", "internal/server.TestA c; issue 1",
			resultEvent("skip", "TestA") + resultEvent("pass", ""), false, false, "was skipped"},
		{"known failure does not exist", "internal/server.TestA c; issue 1",
			resultEvent("pass", "TestB") + resultEvent("pass", ""), false, false, "does not exist"},
		{"known subtest failure", "internal/server.TestA/x c; issue 1",
			resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure"},
		{"unknown subtest failure", "internal/server.TestA/x c; issue 1",
			resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA/y") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "TestA/y"},
		{"subtests of a known failure", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA/x/z") + resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure"},
		{"package build failure", "",
			resultEvent("fail", ""), true, false, ""},
		{"go test failure without a failed test", "",
			resultEvent("pass", ""), true, false, "no test or package did"},
	} {
		t.Run(c.name, func(t *testing.T) {
			known, err := parseKnownFailures(c.list)
			if err != nil {
				t.Fatal(err)
			}
			var output strings.Builder
			results, err := readEvents(strings.NewReader(c.events), &output)
			if err != nil {
				t.Fatal(err)
			}
			if ok := evaluate(results, known, c.goTestFailed, &output); ok != c.ok || !strings.Contains(output.String(), c.output) {
				t.Errorf("accepted: %v, want %v with output containing %q; output:\n%s", ok, c.ok, c.output, output.String())
			}
		})
	}
}

func TestInvalidEventsReturnError(t *testing.T) {
	if _, err := readEvents(strings.NewReader("not json"), &strings.Builder{}); err == nil {
		t.Error("invalid JSON returned no error")
	}
}
