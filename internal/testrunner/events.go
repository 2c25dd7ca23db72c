package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
)

// Actions in the output of go test -json that the test runner evaluates; see go doc test2json.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testEvent is one event in the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

// testID identifies a test, or a package if test is empty.
type testID struct{ pkg, test string }

func compareTestIDs(a, b testID) int {
	return cmp.Or(cmp.Compare(a.pkg, b.pkg), cmp.Compare(a.test, b.test))
}

// testResults holds the final action and the output of each test and package.
type testResults struct {
	actions map[testID]string
	outputs map[testID]string
}

// failures returns the failed tests and packages, sorted by package and test.
func (r testResults) failures() []testID {
	ids := slices.SortedFunc(maps.Keys(r.actions), compareTestIDs)
	return slices.DeleteFunc(ids, func(id testID) bool { return r.actions[id] != actionFail })
}

// readEvents reads the output of go test -json. It writes package and build output to w at once, and
// stores test output until the results are evaluated.
func readEvents(r io.Reader, w io.Writer) (testResults, error) {
	results := testResults{actions: map[testID]string{}, outputs: map[testID]string{}}
	for decoder := json.NewDecoder(r); ; {
		var event testEvent
		if err := decoder.Decode(&event); errors.Is(err, io.EOF) {
			return results, nil
		} else if err != nil {
			return results, err
		}
		id := testID{pkg: event.Package, test: event.Test}
		switch event.Action {
		case actionOutput:
			results.outputs[id] += event.Output
			if event.Test == "" {
				printTo(w, event.Output)
			}
		case actionBuildOutput:
			printTo(w, event.Output)
		case actionPass, actionFail, actionSkip:
			results.actions[id] = event.Action
		}
	}
}
