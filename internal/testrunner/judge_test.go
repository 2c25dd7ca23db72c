package main

import (
	"strings"
	"testing"
)

// resultEvent is the event of the result of a test, or without a test of the
// package.
func resultEvent(action, test string) string {
	event := `{"Action":"` + action + `","Package":"m/internal/server"`
	if test != "" {
		event += `,"Test":"` + test + `"`
	}
	return event + "}\n"
}

func TestOnlyKnownFailuresAreExcused(t *testing.T) {
	for _, c := range []struct {
		name, list, events string
		goTestFailed, ok   bool
		output             string // part of it
	}{
		{"all pass", "",
			resultEvent("pass", "TestA") + resultEvent("pass", ""), false, true, ""},
		{"an unknown failure", "",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "TestA"},
		{"a known one", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure: internal/server.TestA c; issue 1"},
		{"a known and an unknown one", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", "TestB") + resultEvent("fail", ""), true, false, "TestB"},
		{"a known one in another package", "internal/store.TestA c; issue 1",
			resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "no test: internal/store.TestA"},
		{"it passes again", "internal/server.TestA c; issue 1",
			resultEvent("pass", "TestA") + resultEvent("pass", ""), false, true, "passes again"},
		{"it is skipped", "internal/server.TestA c; issue 1",
			resultEvent("skip", "TestA") + resultEvent("pass", ""), false, false, "skipped"},
		{"it is gone", "internal/server.TestA c; issue 1",
			resultEvent("pass", "TestB") + resultEvent("pass", ""), false, false, "no test"},
		{"a known subtest", "internal/server.TestA/x c; issue 1",
			resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure"},
		{"another subtest", "internal/server.TestA/x c; issue 1",
			resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA/y") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, false, "TestA/y"},
		{"subtests of a known one", "internal/server.TestA c; issue 1",
			resultEvent("fail", "TestA/x/z") + resultEvent("fail", "TestA/x") + resultEvent("fail", "TestA") + resultEvent("fail", ""), true, true, "known failure"},
		{"a package that does not build", "",
			resultEvent("fail", ""), true, false, ""},
		{"no failed test and a failure all the same", "",
			resultEvent("pass", ""), true, false, "without a failed test"},
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
			if ok := judge(results, known, c.goTestFailed, &output); ok != c.ok || !strings.Contains(output.String(), c.output) {
				t.Errorf("passes: %v, want %v with %q; output\n%s", ok, c.ok, c.output, output.String())
			}
		})
	}
}

func TestUnreadableEventsAreAnError(t *testing.T) {
	if _, err := readEvents(strings.NewReader("not json"), &strings.Builder{}); err == nil {
		t.Error("no error")
	}
}
