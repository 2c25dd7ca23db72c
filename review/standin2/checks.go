package standin2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// checks follows which tasks are on which machines.
type checks struct {
	record *Record

	mu         sync.Mutex // guards all below
	machines   map[string]map[string]uint64
	begun      map[string]time.Time // when a task of a job last began, by job
	cancelled  map[string]time.Time // when a user was told that a job is cancelled, by job
	violations []string
}

func newChecks(record *Record) *checks {
	return &checks{record: record, machines: map[string]map[string]uint64{}, begun: map[string]time.Time{}, cancelled: map[string]time.Time{}}
}

// began notes that an attempt has its image and runs, and checks the rules ran_twice and ran_cancelled.
func (c *checks) began(machine, task string, attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Log("%s: %s try %d runs", machine, task, attempt)
	for other, otherAttempt := range c.machines[task] {
		if other != machine {
			c.violations = append(c.violations, fmt.Sprintf("ran_twice: %s try %d starts on %s while try %d is on %s", task, attempt, machine, otherAttempt, other))
		}
	}
	if c.machines[task] == nil {
		c.machines[task] = map[string]uint64{}
	}
	c.machines[task][machine] = attempt
	jobID, _, _ := strings.Cut(task, "/")
	c.begun[jobID] = time.Now()
	if told, ok := c.cancelled[jobID]; ok && time.Since(told) > cancelS*time.Second {
		c.violations = append(c.violations, fmt.Sprintf("ran_cancelled: %s try %d starts on %s %.1f s after its user was told that it is cancelled", task, attempt, machine, time.Since(told).Seconds()))
	}
}

// tell notes that a user was told that a job is cancelled.
func (c *checks) tell(jobID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, told := c.cancelled[jobID]; !told {
		c.cancelled[jobID] = time.Now()
	}
}

// ended notes that an attempt is no longer on its machine.
func (c *checks) ended(machine, task string, attempt uint64, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Log("%s: %s try %d ended: %s", machine, task, attempt, cause)
	delete(c.machines[task], machine)
}

// running returns the machines that a task is on.
func (c *checks) running(task string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []string
	for machine := range c.machines[task] {
		machines = append(machines, machine)
	}
	return machines
}

// hasBegun reports whether any task of a job has run.
func (c *checks) hasBegun(jobID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun[jobID].IsZero()
}

// all returns the violations.
func (c *checks) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// attempt returns the number of the newest attempt of a task that is on a machine; 0: none is.
func (c *checks) attempt(task string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := uint64(0)
	for _, attempt := range c.machines[task] {
		newest = max(newest, attempt)
	}
	return newest
}
