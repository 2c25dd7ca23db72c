package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"wheatspur/wire"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 118 * time.Second

// Case plays a case on a site. It returns how the rule was broken, "" if it held, or an error if the
// case could not run. Without trouble it leaves the disruption out.
type Case func(site *Site, trouble bool) (broken string, err error)

// Main runs a case and exits with its result. The arguments of the program are the repository's root
// and the case's folder.
func Main(options Options, play Case) {
	// The controllers end with the thread that started them, whatever ends this process.
	runtime.LockOSThread()
	os.Exit(run(options, play))
}

func run(options Options, play Case) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT FOLDER")
		return exitNotRun
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Log("trouble: %v", trouble)
	site, err := Start(os.Args[1], record, options)
	if site != nil {
		defer site.Stop()
		go endEarly(site)
	}
	broken := ""
	if err == nil {
		broken, err = play(site, trouble)
	}
	switch {
	case err != nil:
		record.Log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken != "":
		record.Log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	record.Log("held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends the case and its processes when the time is up or a signal asks for it.
func endEarly(site *Site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	site.Record.Log("the case could not run to its end")
	site.Stop()
	os.Exit(exitNotRun)
}

// Kasrek is the machine type of the plant counters, with a short boot.
func Kasrek(startupS float64) wire.MachineType {
	return wire.MachineType{Label: "kasrek", CPUs: 96, GPUs: 8, RAMGB: 768, LocalGB: 120, FetchGBPerS: 0.2,
		Price: 27.46, SpotPrice: 6.52, StartupS: startupS, Zones: []string{"westland"}}
}

// Array returns a job array of the class kiemtelling.
func Array(id, team string, tasks int, spot bool) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "kiemtelling", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 10, GPUs: 1, RAMGB: 72, Image: "kiemtelling-1", ImageGB: 0.1, Spot: spot, EstimateS: 100}
}

// Service returns a service of the class bloemzicht.
func Service(id, team string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "bloemzicht", Team: team, Kind: wire.KindService, Priority: wire.PriorityCritical,
		Tasks: tasks, CPUs: 8, GPUs: 1, RAMGB: 58, Image: "bloemzicht-1", ImageGB: 0.1}
}
