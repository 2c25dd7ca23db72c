// Command 2 is the second case of the review: one transaction of a controller gets no response, and the job
// that it was about is never started.
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
	// spell is how long transactions get lost.
	spell = time.Second
	// machines is how many machines are up.
	machines = 12
	// node is the controller whose transactions get lost. It owns enough machines for the job, and
	// it starts last, so it does not lead.
	node = 1

	longJob = "wk-000001" // keeps each machine busy, with room left
	jobID   = "wk-000008"
	tasks   = 11
)

// counter counts the tasks that began to run, by job.
type counter struct {
	mu  sync.Mutex
	ran map[string]int
}

func (n *counter) changed(_ string, status wire.TaskStatus) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if status.State == wire.TaskRunning {
		n.ran[status.Task[:len(jobID)]]++
	}
}

func (n *counter) hasRun(jobID string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran[jobID]
}

func runTime(_ string, _ wire.TaskStatus, spec *wire.JobSpec) (time.Duration, string) {
	if spec.ID == longJob {
		return 10 * time.Minute, wire.ExitCauseDone
	}
	return 5 * time.Second, wire.ExitCauseDone
}

func array(id, team string, tasks int, cpus, cards, ram float64) *wire.JobSpec {
	return &wire.JobSpec{ID: id, Class: "khalighor", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: cpus, GPUs: cards, RAMGB: ram, Image: "img-" + id, ImageGB: 0.3, MachineTypes: []string{"boro-ghar"}, Spot: true, EstimateS: 60}
}

func run(c *standin.Cluster, trouble bool) (standin.Result, string) {
	n := &counter{ran: map[string]int{}}
	c.Options.Run, c.Options.OnChange = runTime, n.changed
	for i := range machines {
		zone := []string{"durgapur", "kolkata-uttor", "sundarban"}[i%3]
		if _, err := c.Cloud.AddRunning(standin.Kind{Type: "boro-ghar", Zone: zone, Spot: true}, 10*time.Minute); err != nil {
			return standin.NotRun, err.Error()
		}
	}
	if err := c.Start(10*time.Second, 0, 2); err != nil {
		return standin.NotRun, err.Error()
	}
	time.Sleep(time.Second)
	if err := c.Start(10*time.Second, node); err != nil {
		return standin.NotRun, err.Error()
	}
	if !c.Users.Submit(array(longJob, "hisabkhana", machines, 13, 1, 40)) || !standin.WaitFor(15*time.Second, func() bool { return n.hasRun(longJob) == machines }) {
		return standin.NotRun, "the long job did not start on all machines"
	}
	job := array(jobID, "dwarpal", tasks, 3, 1, 20)
	c.Gates[node].LoseTransactions(trouble)
	if !c.Users.Submit(job) {
		return standin.NotRun, "the job was not accepted"
	}
	time.Sleep(spell)
	c.Gates[node].LoseTransactions(false)
	// The trouble is over.
	over := time.Now()
	var roomSince time.Time
	for time.Since(over) < waitLimit+2*time.Second {
		time.Sleep(500 * time.Millisecond)
		if n.hasRun(jobID) == tasks {
			return standin.Held, fmt.Sprintf("the job's tasks ran within %.0f s", time.Since(over).Seconds())
		}
		free := withRoom(c, job)
		switch {
		case free < tasks || n.hasRun(jobID) > 0:
			roomSince = time.Time{}
		case roomSince.IsZero():
			roomSince = time.Now()
		}
		if int(time.Since(over).Seconds()*2)%20 == 0 {
			c.Record.Printf("the job waits; the machines have room for %d of its %d tasks", free, tasks)
			c.Users.Poll(jobID)
		}
	}
	if status, state := c.Users.Poll(jobID); status != http.StatusOK || state.State != wire.StateQueued || roomSince.IsZero() || time.Since(roomSince) < waitLimit {
		return standin.Held, "the job did not wait that long"
	}
	return standin.Broken, fmt.Sprintf("the job has waited %.0f s while the machines had room for all its tasks and its team used nothing of its limit", time.Since(roomSince).Seconds())
}

// withRoom returns how many tasks of the job have room on machines that report and are answered.
func withRoom(c *standin.Cluster, spec *wire.JobSpec) int {
	count := 0
	for _, w := range c.Cloud.Workers() {
		if !w.AnsweredWithin(10 * time.Second) {
			continue
		}
		cpus, cards, ram, _ := w.Used()
		count += int(min((w.Type.CPUs-cpus)/spec.CPUs, (w.Type.GPUs-cards)/spec.GPUs, (w.Type.RAMGB-ram)/spec.RAMGB))
	}
	return count
}

func main() {
	site := standin.SonarAtithi()
	for kind := range site.Capacity {
		if kind.Type == "boro-ghar" {
			site.Capacity[kind] = 0 // all that the cloud has is up
		}
	}
	standin.Main(site, 30*time.Second, run)
}
