// Command testrunner runs go test with its arguments and evaluates the results. Every test must pass
// except the known failures listed in KNOWN-RED.txt: these run like all other tests, and their failures
// are reported as known. A known fault that is not fixed yet therefore does not keep everything else
// from being checked. To keep the list current, the run fails if an entry matches no test or if there
// are more than three entries. The caller chooses the packages and flags.
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
	exitError       = 2 // the list of known failures is unreadable or invalid, or go test could not be run or its output not read
)

func main() {
	ok, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	if !ok {
		os.Exit(exitTestsFailed)
	}
}

// run runs go test and reports whether every test passed except the known failures.
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
	return evaluate(results, known, failed, os.Stdout), nil
}

// runGoTest runs go test and returns its results; failed reports whether it exited with an error code.
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
		return results, false, fmt.Errorf("run go test and read its output: %w", errors.Join(readErr, waitErr))
	}
	return results, waitErr != nil, nil
}
