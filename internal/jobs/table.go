package jobs

import (
	"time"

	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// Resources are what a task takes and a machine has.
type Resources struct{ CPUs, GPUs, RAM float64 }

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.RAM + o.RAM}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.RAM - o.RAM}
}

// Max returns the larger amount of each.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUs, o.CPUs), max(r.GPUs, o.GPUs), max(r.RAM, o.RAM)}
}

// Times returns a multiple.
func (r Resources) Times(f float64) Resources {
	return Resources{r.CPUs * f, r.GPUs * f, r.RAM * f}
}

// epsilon forgives rounding in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUs <= room.CPUs+epsilon && r.GPUs <= room.GPUs+epsilon && r.RAM <= room.RAM+epsilon
}

// Share is the largest share that r takes of total.
func (r Resources) Share(total Resources) float64 {
	return max(part(r.CPUs, total.CPUs), part(r.GPUs, total.GPUs), part(r.RAM, total.RAM))
}

// part is the share that an amount takes of a total; of nothing, more than any
// machine has.
func part(amount, total float64) float64 {
	switch {
	case total > 0:
		return max(0, amount/total)
	case amount > 0:
		return 1e9
	}
	return 0
}

// Amount is the part of the resources that teams have limits in.
func (r Resources) Amount() quota.Amount { return quota.Amount{CPUs: r.CPUs, GPUs: r.GPUs} }

// ResourcesPerTask is what one task of the submission takes.
func ResourcesPerTask(w *wire.JobSpec) Resources { return Resources{w.CPUs, w.GPUs, w.RAMGB} }

// Job is a job as the cache knows it.
type Job struct {
	ID        string
	Record    Record
	Need      Resources
	Team      string
	Chunks    map[int][]Task // chunks that were ever written
	Counts    [3]int         // tasks per state
	Claims    map[int]Task   // claimed tasks
	FirstSeen time.Time      // when this node first saw it

	// What follows from the records of the jobs that it depends on and of those
	// that depend on it (see pipeline.go). Phase is open, for a job that is stored
	// waiting, once all that it depends on is stored done, and cancelled with any of it.
	Phase         Phase
	CancelledWith string // the job with which it is cancelled
	ReadyAtMs     int64  // when it might start first, Unix milliseconds
	Priority      int    // the highest of its own and of those that depend on it; see PriorityOrder
	DeadlineMs    int64  // when it should be done, for itself and those that depend on it, Unix milliseconds; 0: no deadline

	ownRecord     bool   // its own record is stored
	intakeVersion uint64 // else the version of the intake record that holds it
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindService
}

// Gang reports whether the job's tasks only run all at once.
func (j *Job) Gang() bool { return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindGang }

// Task returns a task's state.
func (j *Job) Task(i int) Task {
	if c, ok := j.Chunks[i/j.Record.ChunkSize]; ok {
		return c[i%j.Record.ChunkSize]
	}
	return Task{}
}

// ChunkLen is the number of tasks in a chunk.
func (j *Job) ChunkLen(chunk int) int {
	return min(j.Record.ChunkSize, j.Record.Tasks-chunk*j.Record.ChunkSize)
}

// ChunkCopy returns the tasks of a chunk for a change.
func (j *Job) ChunkCopy(chunk int) []Task {
	out := make([]Task, j.ChunkLen(chunk))
	copy(out, j.Chunks[chunk])
	return out
}

// SpansChunks reports whether a constraint on the job's zones covers tasks of
// more than one chunk: then every claim also writes the job's record, so that
// a claim guarded by it has seen all others.
func (j *Job) SpansChunks() bool {
	w := j.Record.Spec
	return w != nil && (w.SameZone || w.SpreadZones) && j.Record.Tasks > j.Record.ChunkSize
}

// AllDone reports whether every task is stored done.
func (j *Job) AllDone() bool { return j.Counts[Completed] == j.Record.Tasks }

// Status is what users are told.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, Done: j.Counts[Completed], Running: j.Counts[Claimed]}
	switch {
	case j.Phase == Done:
		s.State, s.Done, s.Running = wire.StateDone, j.Record.Tasks, 0
	case j.Phase == Cancelled:
		s.State, s.Running = wire.StateCancelled, 0
	case s.Running > 0:
		s.State = wire.StateRunning
	default:
		s.State = wire.StateQueued
	}
	return s
}

// Table is the set of all jobs as stored, with indexes. It is fed by the
// cache and changed by nothing else.
type Table struct {
	Jobs               map[string]*Job
	Open               map[string]*Job            // jobs whose tasks may run
	Waiting            map[string]*Job            // jobs that wait for others
	Unrecorded         map[string]*Job            // jobs that are cancelled with others, without a final record
	ResourcesByTeam    map[string]Resources       // claims per team
	ClaimsByMachine    map[string]map[TaskID]*Job // claims per machine
	ResourcesByMachine map[string]Resources       // what they take
	JobsByIntake       map[string][]string        // jobs of each intake record
	orphanChunks       map[string]map[int][]Task  // chunks whose job is not known yet
	dependents         map[string]map[string]bool // jobs that depend on each job
	now                func() time.Time

	FailedAt map[TaskID]time.Time // when a task's count of failures last rose

	// OnMachineChange is told of machines whose claims, or whose claims' jobs, changed.
	OnMachineChange func(host string)
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{Jobs: map[string]*Job{}, Open: map[string]*Job{}, Waiting: map[string]*Job{}, Unrecorded: map[string]*Job{},
		dependents: map[string]map[string]bool{}, ResourcesByTeam: map[string]Resources{},
		ClaimsByMachine: map[string]map[TaskID]*Job{}, ResourcesByMachine: map[string]Resources{},
		JobsByIntake: map[string][]string{}, orphanChunks: map[string]map[int][]Task{}, now: now, FailedAt: map[TaskID]time.Time{}, OnMachineChange: func(string) {}}
}

// ApplyJob enters a job record. Job records are never dropped.
func (t *Table) ApplyJob(jobID string, raw wire.Raw) error {
	if raw == nil {
		return nil
	}
	var r Record
	if err := wire.Unmarshal(raw, &r); err != nil {
		return err
	}
	t.put(jobID, r).ownRecord = true
	return nil
}

// ApplyIntake enters a record of several new jobs, or its absence. A job's own
// record stands before it; of two intake records that hold the same job, after
// a user's repeat, the older counts, whatever the order in which they are read.
func (t *Table) ApplyIntake(key string, raw wire.Raw, version uint64) error {
	if raw == nil {
		delete(t.JobsByIntake, key)
		return nil
	}
	var v IntakeRecord
	if err := wire.Unmarshal(raw, &v); err != nil {
		return err
	}
	jobIDs := make([]string, 0, len(v.Jobs))
	for jobID, r := range v.Jobs {
		jobIDs = append(jobIDs, jobID)
		if j := t.Jobs[jobID]; j == nil || !j.ownRecord && version < j.intakeVersion {
			t.put(jobID, r).intakeVersion = version
		}
	}
	t.JobsByIntake[key] = jobIDs
	return nil
}

// IntakeFinished reports whether every job of an intake record has a final record of its
// own, so that nothing needs the intake record any more.
func (t *Table) IntakeFinished(key string) bool {
	for _, jobID := range t.JobsByIntake[key] {
		if j := t.Jobs[jobID]; j == nil || !j.ownRecord || !j.Record.Phase.Final() {
			return false
		}
	}
	return true
}

// put enters a job's record.
func (t *Table) put(jobID string, r Record) *Job {
	j := t.Jobs[jobID]
	if j == nil {
		j = &Job{ID: jobID, Chunks: map[int][]Task{}, Claims: map[int]Task{}, FirstSeen: t.now()}
		t.Jobs[jobID] = j
	}
	j.Counts[Pending] += r.Tasks - j.Record.Tasks
	before := j.dependencies()
	t.removeDependencies(j)
	j.Record = r
	t.addDependencies(j)
	if r.Spec != nil {
		// Final records carry no description; what is needed to account for
		// claims that are released later stays.
		j.Need, j.Team = ResourcesPerTask(r.Spec), r.Spec.Team
	}
	t.propagate(jobID, before)
	for c, tasks := range t.orphanChunks[jobID] {
		t.replaceChunk(j, c, tasks)
	}
	delete(t.orphanChunks, jobID)
	return j
}

// ApplyChunk enters a chunk record, or its absence.
func (t *Table) ApplyChunk(key string, raw wire.Raw) error {
	jobID, chunk, ok := ParseChunkKey(key)
	if !ok {
		return nil
	}
	var r ChunkRecord
	if raw != nil {
		if err := wire.Unmarshal(raw, &r); err != nil {
			return err
		}
	}
	j := t.Jobs[jobID]
	if j == nil {
		if t.orphanChunks[jobID] == nil {
			t.orphanChunks[jobID] = map[int][]Task{}
		}
		t.orphanChunks[jobID][chunk] = r.Tasks
		return nil
	}
	t.replaceChunk(j, chunk, r.Tasks)
	return nil
}

// replaceChunk enters the tasks of a chunk. Only the tasks that differ are entered
// anew: a chunk changes a few of its tasks at a time, and every other machine
// that it names would be looked at again.
func (t *Table) replaceChunk(j *Job, chunk int, tasks []Task) {
	old := j.Chunks[chunk]
	same := func(i int) bool { return i < len(old) && i < len(tasks) && old[i] == tasks[i] }
	for i, task := range old {
		if !same(i) {
			t.removeTask(j, chunk*j.Record.ChunkSize+i, task)
		}
	}
	if len(old) == 0 {
		j.Counts[Pending] -= j.ChunkLen(chunk)
	}
	if len(tasks) == 0 {
		delete(j.Chunks, chunk)
		j.Counts[Pending] += j.ChunkLen(chunk)
		return
	}
	j.Chunks[chunk] = tasks
	for i, task := range tasks {
		if same(i) {
			continue
		}
		var before Task
		if i < len(old) {
			before = old[i]
		}
		t.addTask(j, chunk*j.Record.ChunkSize+i, before, task)
	}
}

// removeTask takes a task out of the counts and the indexes.
func (t *Table) removeTask(j *Job, number int, task Task) {
	j.Counts[task.State]--
	if task.State != Claimed {
		return
	}
	id, host := TaskID{j.ID, number}, task.Machine
	delete(j.Claims, number)
	t.ResourcesByTeam[j.Team] = t.ResourcesByTeam[j.Team].Sub(j.Need)
	delete(t.ClaimsByMachine[host], id)
	t.OnMachineChange(host)
	t.ResourcesByMachine[host] = t.ResourcesByMachine[host].Sub(j.Need)
	if len(t.ClaimsByMachine[host]) == 0 {
		delete(t.ClaimsByMachine, host)
		delete(t.ResourcesByMachine, host)
	}
}

// addTask enters a task, which was before, in the counts and the indexes.
func (t *Table) addTask(j *Job, number int, before, task Task) {
	j.Counts[task.State]++
	id, host := TaskID{j.ID, number}, task.Machine
	if task.Failures > before.Failures {
		t.FailedAt[id] = t.now()
	} else if task.Failures == 0 && before.Failures > 0 {
		delete(t.FailedAt, id)
	}
	if task.State != Claimed {
		return
	}
	j.Claims[number] = task
	t.ResourcesByTeam[j.Team] = t.ResourcesByTeam[j.Team].Add(j.Need)
	if t.ClaimsByMachine[host] == nil {
		t.ClaimsByMachine[host] = map[TaskID]*Job{}
	}
	t.ClaimsByMachine[host][id] = j
	t.OnMachineChange(host)
	t.ResourcesByMachine[host] = t.ResourcesByMachine[host].Add(j.Need)
}

// ValidationError says why a job can never run.
type ValidationError string

func (r ValidationError) Error() string { return string(r) }

// TeamLimits is what intake needs to know of a team.
type TeamLimits struct{ CPUsMax, GPUsMax float64 }

// Validate refuses a job that can never run: 422 to its user. oneWrite is the
// number of tasks that one write can claim.
func Validate(w *wire.JobSpec, lim TeamLimits, known bool, types []wire.MachineType, oneWrite int) error {
	if !known {
		return ValidationError("unknown team")
	}
	fits := false
	for _, r := range types {
		if AllowsMachineType(w, r.Label) && AllowsAnyZone(w, r.Zones) && ResourcesPerTask(w).Fits(Resources{r.CPUs, r.GPUs, r.RAMGB}) {
			fits = true
		}
	}
	if !fits {
		return ValidationError("no allowed machine type fits a task")
	}
	if w.Kind == wire.KindGang && w.Tasks > oneWrite {
		return ValidationError("more tasks at once than one write can claim")
	}
	n := 1.0
	if w.Kind != wire.KindArray {
		n = float64(w.Tasks)
	}
	if lim.CPUsMax > 0 && w.CPUs*n > lim.CPUsMax+epsilon || lim.GPUsMax > 0 && w.GPUs*n > lim.GPUsMax+epsilon {
		return ValidationError("more than the team's limit")
	}
	return nil
}

// AllowsMachineType reports whether the job may use a machine type.
func AllowsMachineType(w *wire.JobSpec, machineType string) bool {
	if len(w.MachineTypes) == 0 {
		return true
	}
	for _, r := range w.MachineTypes {
		if r == machineType {
			return true
		}
	}
	return false
}

// AllowsAnyZone reports whether the job may run in one of the zones.
func AllowsAnyZone(w *wire.JobSpec, zones []string) bool {
	if w.Zone == nil {
		return len(zones) > 0
	}
	for _, z := range zones {
		if z == *w.Zone {
			return true
		}
	}
	return false
}

// PriorityOrder orders priorities, most important first.
func PriorityOrder(priority string) int {
	switch priority {
	case wire.PriorityCritical:
		return 0
	case wire.PriorityUrgent:
		return 1
	case wire.PriorityNormal:
		return 2
	}
	return 3
}
