package main

import (
	"fmt"
	"strings"
)

// knownFailuresFile lists the known failures, at the root of the repository.
const knownFailuresFile = "KNOWN-RED.txt"

// maxKnownFailures is how many tests may be listed: more would hide what is new.
const maxKnownFailures = 3

// knownFailure is a test that fails for a fault that is known.
type knownFailure struct {
	pkg   string // the end of the package's path
	test  string
	cause string
}

// matches reports whether a test is the one that fails.
func (k knownFailure) matches(id testID) bool {
	return id.test == k.test && (id.pkg == k.pkg || strings.HasSuffix(id.pkg, "/"+k.pkg))
}

func (k knownFailure) name() string { return k.pkg + "." + k.test }

// parseKnownFailures reads the list: a line each, the test as its package's path,
// a dot and its name, then the cause and the issue. Empty lines and those that
// start with # don't count.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var out []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, cause, _ := strings.Cut(line, " ")
		dot := strings.LastIndex(name, ".Test")
		if dot <= 0 || !strings.Contains(cause, "issue ") {
			return nil, fmt.Errorf("%s: a line is PACKAGE.TEST CAUSE, issue N: %q", knownFailuresFile, line)
		}
		out = append(out, knownFailure{pkg: name[:dot], test: name[dot+1:], cause: strings.TrimSpace(cause)})
	}
	if len(out) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d lines, at most %d", knownFailuresFile, len(out), maxKnownFailures)
	}
	return out, nil
}
