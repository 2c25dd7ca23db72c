// Command 1 is the first case of the review: a task fails once, on one machine, and its job is never
// started again although other machines have room for it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"wheatspur/review/standin"
	"wheatspur/wire"
)

const (
	// waitLimit is how long the rule lets a job wait.
	waitLimit = 90 * time.Second
	// lagLimit is how late the answers to users may be.
	lagLimit = 3 * time.Second

	longJob  = "wk-000001" // keeps each machine busy, with room left
	shortJob = "wk-000008" // fails once
	machines = 6
)

// watcher notes what happens to the short job's task.
type watcher struct {
	mu       sync.Mutex
	failedOn string // the machine on which the first attempt failed
	failedAt time.Time
	startsOK int // attempts that began to run after the first
	ended    bool
}

func (w *watcher) run(trouble bool) func(string, wire.TaskStatus, *wire.JobSpec) (time.Duration, string) {
	return func(machine string, _ wire.TaskStatus, spec *wire.JobSpec) (time.Duration, string) {
		if spec.ID != shortJob {
			return 10 * time.Minute, wire.ExitCauseDone
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if trouble && w.failedOn == "" {
			w.failedOn = machine
			return 2 * time.Second, wire.ExitCauseError
		}
		w.startsOK++
		return 5 * time.Second, wire.ExitCauseDone
	}
}

func (w *watcher) changed(_ string, status wire.TaskStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status.Task != shortJob+"/0" || status.State != wire.TaskExited {
		return
	}
	switch status.ExitCause {
	case wire.ExitCauseError:
		w.failedAt = time.Now()
	case wire.ExitCauseDone:
		w.ended = true
	}
}

func (w *watcher) state() (failedOn string, failedAt time.Time, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failedOn, w.failedAt, w.ended
}

func array(id string, tasks int, cpus, cards, ram float64) *wire.JobSpec {
	return &wire.JobSpec{ID: id, Class: "khalighor", Team: "hisabkhana", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: cpus, GPUs: cards, RAMGB: ram, Image: "img-" + id, ImageGB: 0.3, Spot: true, EstimateS: 60}
}

func run(c *standin.Cluster, trouble bool) (standin.Result, string) {
	w := &watcher{}
	c.Options.Run, c.Options.OnChange = w.run(trouble), w.changed
	for i := range machines {
		zone := []string{"durgapur", "kolkata-uttor", "sundarban"}[i%3]
		if _, err := c.Cloud.AddRunning(standin.Kind{Type: "boro-ghar", Zone: zone, Spot: true}, 10*time.Minute); err != nil {
			return standin.NotRun, err.Error()
		}
	}
	if err := c.StartAll(10 * time.Second); err != nil {
		return standin.NotRun, err.Error()
	}
	short := array(shortJob, 1, 5, 1, 27)
	short.MachineTypes = []string{"boro-ghar"}
	if !c.Users.Submit(array(longJob, machines, 15, 3, 81)) || !standin.WaitFor(12*time.Second, func() bool { return allBusy(c) }) {
		return standin.NotRun, "the long job did not start on all machines"
	}
	if !c.Users.Submit(short) {
		return standin.NotRun, "the short job was not accepted"
	}
	if !trouble {
		if standin.WaitFor(30*time.Second, func() bool { return polled(c, wire.StateDone) }) {
			return standin.Held, "the job is done"
		}
		return standin.Broken, "the job is not done"
	}
	if !standin.WaitFor(15*time.Second, func() bool { _, at, _ := w.state(); return !at.IsZero() }) {
		return standin.NotRun, "the job's task did not start"
	}
	failedOn, failedAt, _ := w.state()
	// The trouble is over. The job has to run again, since machines have room for it all the time.
	roomSince := time.Time{}
	for time.Since(failedAt) < waitLimit+lagLimit+time.Second {
		time.Sleep(time.Second)
		if _, _, ended := w.state(); ended {
			return standin.Held, fmt.Sprintf("the task failed on %s and was done %.0f s later", failedOn, time.Since(failedAt).Seconds())
		}
		free := withRoom(c, short, failedOn)
		switch {
		case len(free) == 0:
			roomSince = time.Time{}
		case roomSince.IsZero():
			roomSince = time.Now()
		}
		if holds(c) {
			roomSince = time.Time{}
		}
		if int(time.Since(failedAt).Seconds())%10 == 0 {
			c.Record.Printf("the job waits; machines with room beside %s: %v", failedOn, free)
			polled(c, "")
		}
	}
	waited := time.Since(roomSince)
	if roomSince.IsZero() || waited < waitLimit || !polled(c, wire.StateQueued) {
		return standin.Held, "the job did not wait that long"
	}
	return standin.Broken, fmt.Sprintf("the task failed once, on %s; the job has waited %.0f s since, while other machines had room and its team is under its limit", failedOn, waited.Seconds())
}

// allBusy reports whether every machine runs one task.
func allBusy(c *standin.Cluster) bool {
	for _, w := range c.Cloud.Workers() {
		if _, _, _, tasks := w.Used(); tasks != 1 {
			return false
		}
	}
	return true
}

// polled reports whether a poll of the short job tells this state.
func polled(c *standin.Cluster, state string) bool {
	status, job := c.Users.Poll(shortJob)
	return status == http.StatusOK && job.State == state
}

// holds reports whether a machine holds a task of the short job that has not ended.
func holds(c *standin.Cluster) bool {
	for _, w := range c.Cloud.Workers() {
		for _, status := range w.Listed() {
			if status.Task == shortJob+"/0" && status.State != wire.TaskExited {
				return true
			}
		}
	}
	return false
}

// withRoom returns the machines, other than one, that report, are answered and have room for the job.
func withRoom(c *standin.Cluster, spec *wire.JobSpec, except string) []string {
	var free []string
	for _, w := range c.Cloud.Workers() {
		if w.Name != except && w.HasRoom(spec) && w.AnsweredWithin(10*time.Second) {
			free = append(free, w.Name)
		}
	}
	return free
}

func main() { standin.Main(standin.SonarAtithi(), 30*time.Second, run) }
