package main

import (
	"slices"
	"strings"
	"testing"
)

func TestKnownFailuresFileIsValidated(t *testing.T) {
	const line = "internal/server.TestX write conflict; issue 18\n"
	failure := knownFailure{pkg: "internal/server", test: "TestX", cause: "write conflict; issue 18"}
	for _, c := range []struct {
		name, text string
		want       []knownFailure
		valid      bool
	}{
		{"empty file", "", nil, true},
		{"comments", "# none\n\n", nil, true},
		{"one failure", line, []knownFailure{failure}, true},
		{"maximum number of failures", line + line + line, []knownFailure{failure, failure, failure}, true},
		{"too many failures", strings.Repeat(line, 4), nil, false},
		{"invalid test name", "internal/server.Foo cause; issue 18", nil, false},
		{"missing package", "TestX cause; issue 18", nil, false},
		{"missing issue", "internal/server.TestX cause", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			known, err := parseKnownFailures(c.text)
			if (err == nil) != c.valid || !slices.Equal(known, c.want) {
				t.Errorf("%+v, error %v; want %+v, valid %v", known, err, c.want, c.valid)
			}
		})
	}
}
