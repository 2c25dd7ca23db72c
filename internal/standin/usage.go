package standin

import (
	"fmt"
	"strings"
	"sync"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// UsageChecker holds what the state service and the workers see against the
// teams' limits, at every instant.
type UsageChecker struct {
	mu       sync.Mutex
	limits   map[string]float64 // GPUs by team
	jobs     map[string]wire.JobSpec
	claimed  map[string]float64 // GPUs claimed, by key of a chunk
	running  map[string]string  // machine of each task that runs
	byTeam   map[string]float64 // GPUs of running tasks
	stored   map[string]float64 // GPUs claimed, by team
	highest  map[string]float64 // most ever claimed
	admitted int
	started  int
	faults   []string
}

// NewUsageChecker returns a checker of limits, in GPUs by team.
func NewUsageChecker(limits map[string]float64) *UsageChecker {
	return &UsageChecker{limits: limits, jobs: map[string]wire.JobSpec{}, claimed: map[string]float64{}, running: map[string]string{},
		byTeam: map[string]float64{}, stored: map[string]float64{}, highest: map[string]float64{}}
}

// Submitted makes a job known, before it is submitted.
func (u *UsageChecker) Submitted(spec wire.JobSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs[spec.ID] = spec
}

// Applied takes the changes of a transaction of the state service.
func (u *UsageChecker) Applied(changes []wire.Change) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range changes {
		key := c.Set + c.Drop
		if !strings.HasPrefix(key, jobs.ChunkPrefix) {
			continue
		}
		jobID, _, _ := jobs.ParseChunkKey(key)
		spec, known := u.jobs[jobID]
		var chunk jobs.ChunkRecord
		if !known || c.Set != "" && wire.Unmarshal(c.Value, &chunk) != nil {
			u.fault("%s holds nothing that a user asked for", key)
			continue
		}
		claims := 0
		for _, t := range chunk.Tasks {
			if t.State == jobs.Claimed {
				claims++
			}
		}
		now := float64(claims) * spec.GPUs
		if now > u.claimed[key] {
			u.admitted += int((now - u.claimed[key]) / spec.GPUs)
		}
		u.stored[spec.Team] += now - u.claimed[key]
		u.claimed[key] = now
		if claims == 0 {
			delete(u.claimed, key)
		}
	}
	for team, used := range u.stored {
		u.highest[team] = max(u.highest[team], used)
		if used > u.limits[team] {
			u.fault("%s has claims of %v GPUs, its limit is %v", team, used, u.limits[team])
		}
	}
}

// Starts takes the start of a task on a machine.
func (u *UsageChecker) Starts(host, task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started++
	if on := u.running[task]; on != "" {
		u.fault("%s starts on %s while it is on %s", task, host, on)
	}
	u.running[task] = host
	spec := u.jobs[jobID]
	u.byTeam[spec.Team] += spec.GPUs
	if used := u.byTeam[spec.Team]; used > u.limits[spec.Team] {
		u.fault("%s uses %v GPUs, its limit is %v", spec.Team, used, u.limits[spec.Team])
	}
}

// Ends takes the end of a task that ran.
func (u *UsageChecker) Ends(task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[task] == "" {
		return
	}
	delete(u.running, task)
	spec := u.jobs[jobID]
	u.byTeam[spec.Team] -= spec.GPUs
}

func (u *UsageChecker) fault(format string, args ...any) {
	u.faults = append(u.faults, fmt.Sprintf(format, args...))
}

// Usage is what a checker has seen.
type Usage struct {
	Admitted int                // claims that were stored
	Started  int                // tasks that began to run
	Claimed  map[string]float64 // GPUs claimed now, by team
	Highest  map[string]float64 // most GPUs ever claimed, by team
	Faults   []string
}

// Seen returns what the checker has seen.
func (u *UsageChecker) Seen() Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Usage{Admitted: u.admitted, Started: u.started, Claimed: map[string]float64{}, Highest: map[string]float64{}}
	for team := range u.limits {
		out.Claimed[team], out.Highest[team] = u.stored[team], u.highest[team]
	}
	out.Faults = append(out.Faults, u.faults...)
	return out
}
