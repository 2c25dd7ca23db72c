package jobs

import (
	"time"

	"wheatspur/wire"
)

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
