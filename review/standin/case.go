package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Result is the result of a case, and the exit code of its script.
type Result int

// Results of a case.
const (
	Held   Result = 0 // the rule held
	Broken Result = 1 // the rule was broken
	NotRun Result = 2 // the case could not run
)

// caseLimit is how long a case may take in all.
const caseLimit = 118 * time.Second

// Case is a case: it runs on a cluster whose controllers are not started yet. trouble tells
// whether it makes its disruption. reason explains the result.
type Case func(c *Cluster, trouble bool) (result Result, reason string)

// Main runs a case and exits with its result. The arguments of the process are the root of the
// repository and the folder of the case; with TROUBLE=0 in the environment there is no disruption.
func Main(site Site, boot time.Duration, run Case) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case ROOT FOLDER")
		os.Exit(int(NotRun))
	}
	os.Exit(int(runCase(site, boot, run)))
}

func runCase(site Site, boot time.Duration, run Case) Result {
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = record.Close() }() // the result is on the screen, too
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("site %s, trouble %v", site.Name, trouble)
	cluster, err := NewCluster(os.Args[1], site, boot, record)
	if cluster != nil {
		defer cluster.Close()
	}
	if err != nil {
		record.Printf("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	type outcome struct {
		result Result
		reason string
	}
	done := make(chan outcome, 1)
	go func() {
		result, reason := run(cluster, trouble)
		done <- outcome{result, reason}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	end := outcome{NotRun, "it took too long"}
	select {
	case end = <-done:
	case <-time.After(caseLimit):
	case <-signals:
		end.reason = "it was stopped"
	}
	text := map[Result]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", NotRun: "could not run"}[end.result]
	record.Printf("result: %s: %s", text, end.reason)
	fmt.Printf("%s: %s\n", text, end.reason)
	return end.result
}
