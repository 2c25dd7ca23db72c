package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
)

// Actions of go test -json that the judgement needs (go doc test2json).
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testEvent is an event that go test -json prints.
type testEvent struct {
	Action, Package, Test, Output string
}

// testID names a test; without a test, its package.
type testID struct{ pkg, test string }

func compareTestIDs(a, b testID) int {
	return cmp.Or(cmp.Compare(a.pkg, b.pkg), cmp.Compare(a.test, b.test))
}

// testResults are the last action and the output of each test and package.
type testResults struct {
	actions map[testID]string
	outputs map[testID]string
}

// failures lists what failed, in a fixed order.
func (r testResults) failures() []testID {
	ids := slices.SortedFunc(maps.Keys(r.actions), compareTestIDs)
	return slices.DeleteFunc(ids, func(id testID) bool { return r.actions[id] != actionFail })
}

// readEvents reads what go test -json prints, and passes on the output of packages
// and of builds; that of tests is kept until they are judged.
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
