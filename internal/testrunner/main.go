// Command testrunner runs go test with its arguments and judges the outcome. Every
// test must pass, but those that KNOWN-RED.txt lists: they run like all others,
// and their failures are printed as known. It guards against faults that are known
// and not mended keeping everything else from being checked, and against the list
// growing old: a name that matches no test, and a fourth line, fail the run. Which
// packages are tested, and how, is the caller's choice.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
)

// Exit codes.
const (
	exitTestsFailed = 1
	exitNotRun      = 2 // the list is wrong, or go test could not be run or read
)

func main() {
	ok, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if !ok {
		os.Exit(exitTestsFailed)
	}
}

// run runs go test and reports whether its outcome is as it must be.
func run(arguments []string) (ok bool, err error) {
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		return false, err
	}
	results, failed, err := runGoTest(arguments)
	if err != nil {
		return false, err
	}
	return judge(results, known, failed, os.Stdout), nil
}

// runGoTest runs go test; failed tells whether it exited with a failure.
func runGoTest(arguments []string) (results testResults, failed bool, err error) {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		return results, false, err
	}
	if err := command.Start(); err != nil {
		return results, false, err
	}
	results, readErr := readEvents(stdout, os.Stdout)
	waitErr := command.Wait()
	var exit *exec.ExitError
	if readErr != nil || waitErr != nil && !errors.As(waitErr, &exit) {
		return results, false, fmt.Errorf("go test could not be read: %w", errors.Join(readErr, waitErr))
	}
	return results, waitErr != nil, nil
}
