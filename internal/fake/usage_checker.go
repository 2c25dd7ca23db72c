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

// UsageChecker compares each team's claims in the store and its running tasks on the workers
// with the team's limit, on every change.
type UsageChecker struct {
	mu     sync.Mutex         // guards all below
	limits map[string]float64 // GPUs, by team
	jobs   map[string]wire.JobSpec

	claimedByChunk map[string]float64 // GPUs of claims in the store, by chunk key
	claimedByTeam  map[string]float64 // GPUs of claims in the store, by team
	peakClaimed    map[string]float64 // most GPUs ever claimed at once, by team
	machineByTask  map[string]string  // machine of each running task
	runningByTeam  map[string]float64 // GPUs of running tasks, by team
	admittedTasks  int
	startedTasks   int
	violations     []string

	startedAt         time.Time
	lastClaimChange   time.Time              // last change of claimedByTeam
	claimedGPUSeconds map[string]float64     // GPU seconds claimed until lastClaimChange, by team
	unclaimedSince    map[string][]time.Time // release times of GPUs not claimed again, oldest first, by team
	reuseDelay        *hdrhistogram.Histogram
	lastAtLimit       map[string]time.Time // last write to the team's chunks after which its claims were at or above its limit
}

// Range in milliseconds and significant digits of the histogram of reuse delays: the time from
// the release of a GPU until it is claimed again.
const (
	reuseDelayMin    = 1
	reuseDelayMax    = 600_000
	reuseDelayDigits = 3
)

// NewUsageChecker returns a checker of limits, which are in GPUs by team.
func NewUsageChecker(limits map[string]float64) *UsageChecker {
	now := time.Now()
	return &UsageChecker{
		limits:            limits,
		jobs:              map[string]wire.JobSpec{},
		claimedByChunk:    map[string]float64{},
		claimedByTeam:     map[string]float64{},
		peakClaimed:       map[string]float64{},
		machineByTask:     map[string]string{},
		runningByTeam:     map[string]float64{},
		startedAt:         now,
		lastClaimChange:   now,
		claimedGPUSeconds: map[string]float64{},
		unclaimedSince:    map[string][]time.Time{},
		reuseDelay:        hdrhistogram.New(reuseDelayMin, reuseDelayMax, reuseDelayDigits),
		lastAtLimit:       map[string]time.Time{},
	}
}

// RecordSubmission registers a job. It must be called before the job is submitted, so that the
// job is known when its first claims are stored.
func (u *UsageChecker) RecordSubmission(spec wire.JobSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs[spec.ID] = spec
}

// RecordTransaction records the operations of a transaction that the store has applied, and checks
// the claims of every team against its limit.
func (u *UsageChecker) RecordTransaction(operations []wire.Operation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, operation := range operations {
		if key := operation.Put + operation.Delete; strings.HasPrefix(key, jobs.ChunkPrefix) {
			u.recordChunkClaims(key, operation)
		}
	}
	for team, claimed := range u.claimedByTeam {
		u.peakClaimed[team] = max(u.peakClaimed[team], claimed)
		if claimed > u.limits[team] {
			u.addViolation("team %s has claims of %v GPUs, over its limit of %v", team, claimed, u.limits[team])
		}
	}
}

// recordChunkClaims records the claims in a written or deleted chunk of a job's tasks; mu is
// held.
func (u *UsageChecker) recordChunkClaims(key string, operation wire.Operation) {
	jobID, _, _ := jobs.ParseChunkKey(key) // an invalid key belongs to no known job
	spec, known := u.jobs[jobID]
	var chunk jobs.ChunkRecord
	if !known || operation.Put != "" && wire.Unmarshal(operation.Value, &chunk) != nil {
		u.addViolation("chunk %s is invalid or belongs to a job that was not submitted", key)
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
	u.updateClaimed(spec.Team, after-before)
	if claims == 0 {
		delete(u.claimedByChunk, key)
	} else {
		u.claimedByChunk[key] = after
	}
}

// updateClaimed records a change of a team's claims, in GPUs; mu is held. A newly claimed GPU
// is matched with the GPU that was released longest ago, to measure the reuse delay.
func (u *UsageChecker) updateClaimed(team string, change float64) {
	now := time.Now()
	for other, claimed := range u.claimedByTeam {
		u.claimedGPUSeconds[other] += claimed * now.Sub(u.lastClaimChange).Seconds()
	}
	u.lastClaimChange = now
	u.claimedByTeam[team] += change
	if u.claimedByTeam[team] >= u.limits[team] {
		u.lastAtLimit[team] = now
	}
	for ; change < 0; change++ {
		u.unclaimedSince[team] = append(u.unclaimedSince[team], now)
	}
	for ; change > 0 && len(u.unclaimedSince[team]) > 0; change-- {
		delay := now.Sub(u.unclaimedSince[team][0]).Milliseconds()
		// RecordValue fails only for values out of range, which the clamp prevents.
		_ = u.reuseDelay.RecordValue(min(max(reuseDelayMin, delay), reuseDelayMax))
		u.unclaimedSince[team] = u.unclaimedSince[team][1:]
	}
}

// RecordTaskStart records the start of a task on a machine. It checks that the task runs nowhere
// else and that the team's running tasks are within its limit.
func (u *UsageChecker) RecordTaskStart(machine, task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startedTasks++
	if other := u.machineByTask[task]; other != "" {
		u.addViolation("task %s starts on %s while it is running on %s", task, machine, other)
	}
	u.machineByTask[task] = machine
	spec := u.jobs[jobID]
	u.runningByTeam[spec.Team] += spec.GPUs
	if running := u.runningByTeam[spec.Team]; running > u.limits[spec.Team] {
		u.addViolation("team %s runs tasks with %v GPUs, over its limit of %v", spec.Team, running, u.limits[spec.Team])
	}
}

// RecordTaskEnd records the end of a task that was running.
func (u *UsageChecker) RecordTaskEnd(task, jobID string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.machineByTask[task] == "" {
		return
	}
	delete(u.machineByTask, task)
	spec := u.jobs[jobID]
	u.runningByTeam[spec.Team] -= spec.GPUs
}

// addViolation records a violation of an invariant; mu is held.
func (u *UsageChecker) addViolation(format string, args ...any) {
	u.violations = append(u.violations, fmt.Sprintf(format, args...))
}

// AllReachedLimitAfter reports whether, for each team, a write to its chunks after a time has left its
// claims at or above its limit. A team that has been at its limit since before, without such a
// write, does not count.
func (u *UsageChecker) AllReachedLimitAfter(since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for team := range u.limits {
		if !u.lastAtLimit[team].After(since) {
			return false
		}
	}
	return true
}

// Usage is what a checker has recorded.
type Usage struct {
	StoredClaims int                // number of claims that were stored
	Started      int                // number of tasks that began to run
	Claimed      map[string]float64 // GPUs claimed now, by team
	PeakClaimed  map[string]float64 // most GPUs ever claimed at once, by team
	Violations   []string           // exceeded limits, tasks that ran on two machines at once, and invalid chunks
	// MeanClaimedShare is the mean share of its limit that each team had claimed over time.
	MeanClaimedShare map[string]float64
	// ReuseDelayMs is a histogram of the delays from the release of a GPU until it is claimed
	// again, in milliseconds.
	ReuseDelayMs *hdrhistogram.Snapshot
}

// Usage returns what the checker has recorded so far.
func (u *UsageChecker) Usage() Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Usage{
		StoredClaims:     u.admittedTasks,
		Started:          u.startedTasks,
		Claimed:          map[string]float64{},
		PeakClaimed:      map[string]float64{},
		Violations:       slices.Clone(u.violations),
		MeanClaimedShare: map[string]float64{},
		ReuseDelayMs:     u.reuseDelay.Export(),
	}
	seconds := u.lastClaimChange.Sub(u.startedAt).Seconds()
	for team, limit := range u.limits {
		out.Claimed[team], out.PeakClaimed[team] = u.claimedByTeam[team], u.peakClaimed[team]
		out.MeanClaimedShare[team] = math.Round(100*u.claimedGPUSeconds[team]/seconds/limit) / 100
	}
	return out
}
