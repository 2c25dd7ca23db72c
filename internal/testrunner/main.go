// Command testrun runs go test and judges its outcome. Every test must pass,
// but those that KNOWN-RED.txt lists: they run like all others, and their
// failures are printed as known. It guards against faults that are known and
// not mended keeping everything else from being checked, and against the list
// growing old: a name that matches no test, and a fourth line, fail the run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// list is the file of known failures, at the root of the repository.
const list = "KNOWN-RED.txt"

// mostKnown is how many tests may be listed: more would hide what is new.
const mostKnown = 3

// known is a test that fails for a fault that is known.
type known struct {
	pkg, test string // of the package only the end of its path
	cause     string
}

// event is what go test -json prints.
type event struct {
	Action, Package, Test, Output, ImportPath string
}

// id names a test.
type id struct{ pkg, test string }

// outcome is what became of the tests, and of packages (with no test).
type outcome struct {
	action map[id]string
	output map[id]string
}

func main() {
	text, err := os.ReadFile(list)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	reds, err := parse(string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	o, rerr := read(out, os.Stdout)
	err = cmd.Wait()
	var exit *exec.ExitError
	if rerr != nil || err != nil && !errors.As(err, &exit) {
		fmt.Fprintln(os.Stderr, "go test could not be read:", errors.Join(rerr, err))
		os.Exit(2)
	}
	if !judge(o, reds, err != nil, os.Stdout) {
		os.Exit(1)
	}
}

// parse reads the list: a line each, the test as its package's path, a dot and
// its name, then the cause and the issue. Empty lines and those that start
// with # don't count.
func parse(text string) ([]known, error) {
	var out []known
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, cause, _ := strings.Cut(line, " ")
		at := strings.LastIndex(name, ".Test")
		if at <= 0 || !strings.Contains(cause, "issue ") {
			return nil, fmt.Errorf("%s: a line is PACKAGE.TEST CAUSE, issue N: %q", list, line)
		}
		out = append(out, known{name[:at], name[at+1:], strings.TrimSpace(cause)})
	}
	if len(out) > mostKnown {
		return nil, fmt.Errorf("%s: %d lines, at most %d", list, len(out), mostKnown)
	}
	return out, nil
}

// read takes in what go test prints, and passes on what it says of packages.
func read(r io.Reader, w io.Writer) (outcome, error) {
	o := outcome{map[id]string{}, map[id]string{}}
	for dec := json.NewDecoder(r); ; {
		var e event
		if err := dec.Decode(&e); err == io.EOF {
			return o, nil
		} else if err != nil {
			return o, err
		}
		key := id{e.Package, e.Test}
		switch e.Action {
		case "output":
			o.output[key] += e.Output
			if e.Test == "" {
				fmt.Fprint(w, e.Output)
			}
		case "build-output":
			fmt.Fprint(w, e.Output)
		case "pass", "fail", "skip":
			o.action[key] = e.Action
		}
	}
}

// judge reports whether every test passed but the known ones, and prints what
// failed; failed tells that go test says that something did.
func judge(o outcome, reds []known, failed bool, w io.Writer) bool {
	ok := true
	excused := map[id]bool{}
	for _, k := range reds {
		found := false
		for key, action := range o.action {
			if key.test != k.test || key.pkg != k.pkg && !strings.HasSuffix(key.pkg, "/"+k.pkg) {
				continue
			}
			found = true
			switch action {
			case "fail":
				excused[key] = true
				fmt.Fprintf(w, "known failure: %s.%s %s\n", k.pkg, k.test, k.cause)
			case "pass":
				fmt.Fprintf(w, "passes again, take it off %s: %s.%s\n", list, k.pkg, k.test)
			default:
				fmt.Fprintf(w, "listed in %s and skipped: %s.%s\n", list, k.pkg, k.test)
				ok = false
			}
		}
		if !found {
			fmt.Fprintf(w, "listed in %s and no test: %s.%s\n", list, k.pkg, k.test)
			ok = false
		}
	}
	failures := slices.SortedFunc(maps.Keys(o.action), func(a, b id) int {
		return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test)
	})
	failures = slices.DeleteFunc(failures, func(key id) bool { return o.action[key] != "fail" })
	for _, key := range failures {
		if !isExcused(key, failures, excused) {
			ok = false
			if key.test != "" {
				fmt.Fprintf(w, "%s: %s\n%s", key.pkg, key.test, o.output[key])
			}
		}
	}
	if failed && len(failures) == 0 {
		fmt.Fprintln(w, "go test failed without a failed test")
		ok = false
	}
	return ok
}

// isExcused reports whether a failure is known, or that of something whose
// failed parts are all known: a package, or a test with subtests.
func isExcused(key id, failures []id, excused map[id]bool) bool {
	if excused[key] {
		return true
	}
	for part, _, more := strings.Cut(key.test, "/"); more; {
		if excused[id{key.pkg, part}] {
			return true // a part of a known one
		}
		rest, _, again := strings.Cut(strings.TrimPrefix(key.test, part+"/"), "/")
		part, more = part+"/"+rest, again
	}
	parts := 0
	for _, f := range failures {
		if f == key || f.pkg != key.pkg || key.test != "" && !strings.HasPrefix(f.test, key.test+"/") {
			continue
		}
		parts++
		if !isExcused(f, failures, excused) {
			return false
		}
	}
	return parts > 0
}
