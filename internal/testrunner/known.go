package main

import (
	"fmt"
	"strings"
)

// knownFailuresFile is the list of known failures, in the root of the repository.
const knownFailuresFile = "KNOWN-RED.txt"

// maxKnownFailures is the maximum number of listed tests; a longer list would hide new failures.
const maxKnownFailures = 3

// knownFailure is a test that fails because of a known fault.
type knownFailure struct {
	pkg   string // suffix of the package path
	test  string
	cause string
}

// matches reports whether the test with this ID is the known failure.
func (k knownFailure) matches(id testID) bool {
	return id.test == k.test && (id.pkg == k.pkg || strings.HasSuffix(id.pkg, "/"+k.pkg))
}

func (k knownFailure) name() string { return k.pkg + "." + k.test }

// parseKnownFailures parses the list of known failures. Each line has the package path, a dot and the
// name of the test, followed by the cause with the issue. Empty lines and lines that start with # are
// ignored.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var failures []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, cause, _ := strings.Cut(line, " ")
		dot := strings.LastIndex(name, ".Test")
		if dot <= 0 || !strings.Contains(cause, "issue ") {
			return nil, fmt.Errorf("%s: line does not have the form PACKAGE.TEST CAUSE, issue N: %q", knownFailuresFile, line)
		}
		failures = append(failures, knownFailure{pkg: name[:dot], test: name[dot+1:], cause: strings.TrimSpace(cause)})
	}
	if len(failures) > maxKnownFailures {
		return nil, fmt.Errorf("%s: %d known failures exceed the maximum of %d", knownFailuresFile, len(failures), maxKnownFailures)
	}
	return failures, nil
}
