package fake

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// UsageChecker checks the usage that the store and the workers see against the
// teams' limits, at every instant.
type UsageChecker struct {
	mu     sync.Mutex         // guards all below
	limits map[string]float64 // GPUs, by team
	jobs   map[string]wire.JobSpec

	claimedByChunk map[string]float64 // GPUs of claims in the store, by key of a chunk
	claimedByTeam  map[string]float64 // GPUs of claims in the store
	highestClaimed map[string]float64 // most GPUs ever claimed, by team
	runningOn      map[string]string  // machine of each task that runs
	runningByTeam  map[string]float64 // GPUs of running tasks
	admittedTasks  int
	startedTasks   int
	violations     []string

	begun           time.Time
	lastChange      time.Time              // of claimedByTeam
	claimedSeconds  map[string]float64     // GPU seconds claimed until lastChange, by team
	freedAt         map[string][]time.Time // when GPUs were freed that are not claimed again, by team
	reuseDelay      *hdrhistogram.Histogram
	lastAtFullLimit map[string]time.Time // when each team last had claimed all of its limit
}

// Range and precision of the delays from capacity freed to capacity claimed again,
// in milliseconds.
const (
	reuseDelayMin    = 1
	reuseDelayMax    = 600_000
	reuseDelayDigits = 3
)

// NewUsageChecker returns a checker of limits, in GPUs by team.
func NewUsageChecker(limits map[string]float64) *UsageChecker {
	now := time.Now()
	return &UsageChecker{
		limits:          limits,
		jobs:            map[string]wire.JobSpec{},
		claimedByChunk:  map[string]float64{},
		claimedByTeam:   map[string]float64{},
		highestClaimed:  map[string]float64{},
		runningOn:       map[string]string{},
		runningByTeam:   map[string]float64{},
		begun:           now,
		lastChange:      now,
		claimedSeconds:  map[string]float64{},
		freedAt:         map[string][]time.Time{},
		reuseDelay:      hdrhistogram.New(reuseDelayMin, reuseDelayMax, reuseDelayDigits),
		lastAtFullLimit: map[string]time.Time{},
	}
}

// Submitted makes a job known, before it is submitted.
func (u *UsageChecker) Submitted(spec wire.JobSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs[spec.ID] = spec
}

// Applied takes the operations of a transaction that the store has applied.
func (u *UsageChecker) Applied(operations []wire.Operation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, operation := range operations {
		if key := operation.Put + operation.Delete; strings.HasPrefix(key, jobs.ChunkPrefix) {
			u.applyChunk(key, operation)
		}
	}
	for team, claimed := range u.claimedByTeam {
		u.highestClaimed[team] = max(u.highestClaimed[team], claimed)
		if claimed > u.limits[team] {
			u.violation("%s has claims of %v GPUs, its limit is %v", team, claimed, u.limits[team])
		}
	}
}

// applyChunk takes an operation on a chunk of a job's tasks; mu is held.
func (u *UsageChecker) applyChunk(key string, operation wire.Operation) {
	jobID, _, _ := jobs.ParseChunkKey(key) // a key that is none belongs to no known job
	spec, known := u.jobs[jobID]
	var chunk jobs.ChunkRecord
	if !known || operation.Put != "" && wire.Unmarshal(operation.Value, &chunk) != nil {
		u.violation("%s holds nothing that a user asked for", key)
		return
	}
	claims := 0
	for _, task := range chunk.Tasks {
		if task.State == jobs.Claimed {
			claims++
		}
	}
	before, after := u.claimedByChunk[key], float64(claims)*spec.GPUs
	if after > before {
		u.admittedTasks += int((after - before) / spec.GPUs)
	}
	u.changeClaimed(spec.Team, after-before)
	if claims == 0 {
		delete(u.claimedByChunk, key)
	} else {
		u.claimedByChunk[key] = after
	}
}

// changeClaimed enters a change of what a team has claimed, in GPUs; mu is held.
// Each GPU that is claimed takes the place of the one that was freed longest ago.
func (u *UsageChecker) changeClaimed(team string, change float64) {
	now := time.Now()
	for other, claimed := range u.claimedByTeam {
		u.claimedSeconds[other] += claimed * now.Sub(u.lastChange).Seconds()
	}
	u.lastChange = now
	u.claimedByTeam[team] += change
	if u.claimedByTeam[team] >= u.limits[team] {
		u.lastAtFullLimit[team] = now
	}
	for ; change < 0; change++ {
		u.freedAt[team] = append(u.freedAt[team], now)
	}
	for ; change > 0 && len(u.freedAt[team]) > 0; change-- {
		delay := now.Sub(u.freedAt[team][0]).Milliseconds()
		// The clamp keeps the value in the histogram's range, its only error.
		_ = u.reuseDelay.RecordValue(min(max(reuseDelayMin, delay), reuseDelayMax))
		u.freedAt[team] = u.freedAt[team][1:]
	}
}

// TaskStarted takes the start of a task on a machine.
func (u *UsageChecker) TaskStarted(machine, task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startedTasks++
	if other := u.runningOn[task]; other != "" {
		u.violation("%s starts on %s while it is on %s", task, machine, other)
	}
	u.runningOn[task] = machine
	spec := u.jobs[jobID]
	u.runningByTeam[spec.Team] += spec.GPUs
	if running := u.runningByTeam[spec.Team]; running > u.limits[spec.Team] {
		u.violation("%s uses %v GPUs, its limit is %v", spec.Team, running, u.limits[spec.Team])
	}
}

// TaskEnded takes the end of a task that ran.
func (u *UsageChecker) TaskEnded(task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runningOn[task] == "" {
		return
	}
	delete(u.runningOn, task)
	spec := u.jobs[jobID]
	u.runningByTeam[spec.Team] -= spec.GPUs
}

// violation records what must never happen; mu is held.
func (u *UsageChecker) violation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// AllAtLimitSince reports whether every team has had claimed all of its limit at some
// time after the given one.
func (u *UsageChecker) AllAtLimitSince(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for team := range u.limits {
		if !u.lastAtFullLimit[team].After(since) {
			return false
		}
	}
	return true
}

// Usage is what a checker has seen.
type Usage struct {
	Admitted   int                // claims that were stored
	Started    int                // tasks that began to run
	Claimed    map[string]float64 // GPUs claimed now, by team
	Highest    map[string]float64 // most GPUs ever claimed, by team
	Violations []string           // violations of a limit, and tasks that ran twice at once
	// Share is the mean share of its limit that each team had claimed.
	Share map[string]float64
	// Reuse has the delays from capacity freed to capacity claimed again, in
	// milliseconds.
	Reuse *hdrhistogram.Snapshot
}

// Usage returns what the checker has seen.
func (u *UsageChecker) Usage() Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Usage{
		Admitted:   u.admittedTasks,
		Started:    u.startedTasks,
		Claimed:    map[string]float64{},
		Highest:    map[string]float64{},
		Violations: slices.Clone(u.violations),
		Share:      map[string]float64{},
		Reuse:      u.reuseDelay.Export(),
	}
	seconds := u.lastChange.Sub(u.begun).Seconds()
	for team, limit := range u.limits {
		out.Claimed[team], out.Highest[team] = u.claimedByTeam[team], u.highestClaimed[team]
		out.Share[team] = math.Round(100*u.claimedSeconds[team]/seconds/limit) / 100
	}
	return out
}
