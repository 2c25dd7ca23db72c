package main

import (
	"slices"
	"strings"
	"testing"
)

func TestKnownFailuresFileIsValidated(t *testing.T) {
	const line = "internal/server.TestX they meet; issue 18\n"
	failure := knownFailure{pkg: "internal/server", test: "TestX", cause: "they meet; issue 18"}
	for _, c := range []struct {
		name, text string
		want       []knownFailure
		valid      bool
	}{
		{"no list", "", nil, true},
		{"comments", "# none\n\n", nil, true},
		{"one", line, []knownFailure{failure}, true},
		{"three", line + line + line, []knownFailure{failure, failure, failure}, true},
		{"four", strings.Repeat(line, 4), nil, false},
		{"no test", "internal/server.Foo cause; issue 18", nil, false},
		{"no package", "TestX cause; issue 18", nil, false},
		{"no issue", "internal/server.TestX cause", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			known, err := parseKnownFailures(c.text)
			if (err == nil) != c.valid || !slices.Equal(known, c.want) {
				t.Errorf("%+v, error %v; want %+v, valid %v", known, err, c.want, c.valid)
			}
		})
	}
}
