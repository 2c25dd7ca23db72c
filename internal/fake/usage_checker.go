package fake

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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

	begun time.Time
	at    time.Time              // of the last change of stored
	area  map[string]float64     // GPU seconds claimed up to then, by team
	freed map[string][]time.Time // when units of room were freed that are not used again
	reuse *hdrhistogram.Histogram
	full  map[string]time.Time // when each team last had all of its limit
}

// reuseMax bounds the times from room freed to room used, in milliseconds.
const reuseMax = 600_000

// NewUsageChecker returns a checker of limits, in GPUs by team.
func NewUsageChecker(limits map[string]float64) *UsageChecker {
	return &UsageChecker{limits: limits, jobs: map[string]wire.JobSpec{}, claimed: map[string]float64{}, running: map[string]string{},
		byTeam: map[string]float64{}, stored: map[string]float64{}, highest: map[string]float64{},
		begun: time.Now(), at: time.Now(), area: map[string]float64{}, freed: map[string][]time.Time{}, full: map[string]time.Time{}, reuse: hdrhistogram.New(1, reuseMax, 3)}
}

// move enters a change of what a team has claimed, in GPUs. Each unit that is
// claimed uses the room that was freed longest ago.
func (u *UsageChecker) move(team string, by float64) {
	now := time.Now()
	for t, used := range u.stored {
		u.area[t] += used * now.Sub(u.at).Seconds()
	}
	u.at = now
	u.stored[team] += by
	if u.stored[team] >= u.limits[team] {
		u.full[team] = now
	}
	for ; by < 0; by++ {
		u.freed[team] = append(u.freed[team], now)
	}
	for ; by > 0 && len(u.freed[team]) > 0; by-- {
		_ = u.reuse.RecordValue(min(max(1, now.Sub(u.freed[team][0]).Milliseconds()), reuseMax))
		u.freed[team] = u.freed[team][1:]
	}
}

// Submitted makes a job known, before it is submitted.
func (u *UsageChecker) Submitted(spec wire.JobSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.jobs[spec.ID] = spec
}

// Applied takes the changes of a transaction of the state service.
func (u *UsageChecker) Applied(changes []wire.Operation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range changes {
		key := c.Put + c.Delete
		if !strings.HasPrefix(key, jobs.ChunkPrefix) {
			continue
		}
		jobID, _, _ := jobs.ParseChunkKey(key)
		spec, known := u.jobs[jobID]
		var chunk jobs.ChunkRecord
		if !known || c.Put != "" && wire.Unmarshal(c.Value, &chunk) != nil {
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
		u.move(spec.Team, now-u.claimed[key])
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

// FullSince reports whether every team has had all of its limit at some time after
// the given one.
func (u *UsageChecker) FullSince(at time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for team := range u.limits {
		if !u.full[team].After(at) {
			return false
		}
	}
	return true
}

// Usage is what a checker has seen.
type Usage struct {
	Admitted int                // claims that were stored
	Started  int                // tasks that began to run
	Claimed  map[string]float64 // GPUs claimed now, by team
	Highest  map[string]float64 // most GPUs ever claimed, by team
	Faults   []string
	// Share is the mean share of its limit that each team had claimed.
	Share map[string]float64
	// Reuse has the times from room freed to room used again, in milliseconds.
	Reuse *hdrhistogram.Snapshot
}

// Seen returns what the checker has seen.
func (u *UsageChecker) Seen() Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Usage{Admitted: u.admitted, Started: u.started, Claimed: map[string]float64{}, Highest: map[string]float64{}}
	for team := range u.limits {
		out.Claimed[team], out.Highest[team] = u.stored[team], u.highest[team]
	}
	out.Share = map[string]float64{}
	for team, limit := range u.limits {
		out.Share[team] = math.Round(100*u.area[team]/u.at.Sub(u.begun).Seconds()/limit) / 100
	}
	out.Reuse = u.reuse.Export()
	out.Faults = append(out.Faults, u.faults...)
	return out
}
