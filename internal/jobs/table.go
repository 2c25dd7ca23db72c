package jobs

import (
	"time"

	"wheatspur/wire"
)

// Table is the set of all jobs as stored, with indexes. The cache feeds it, through
// the Apply methods, and nothing else changes it; records may come in any order.
// It has no lock of its own: its owner's guards it.
type Table struct {
	Jobs map[string]*Job

	// Jobs by the phase that is derived for them.
	Open       map[string]*Job // jobs whose tasks may run
	Waiting    map[string]*Job // jobs whose dependencies are not done
	Unrecorded map[string]*Job // jobs that are cancelled with others, without a final record

	// What claims take. They count until they are released, also those of ended jobs.
	ResourcesByTeam    map[string]Resources
	ResourcesByMachine map[string]Resources
	ClaimsByMachine    map[string]map[TaskID]*Job

	JobsByIntake map[string][]string  // jobs of each intake record
	FailedAt     map[TaskID]time.Time // when a task's count of failures last rose

	// OnMachineChange is called with every machine whose claims, or whose claims'
	// jobs, have changed.
	OnMachineChange func(machine string)

	orphanChunks map[string]map[int][]Task  // chunks whose job is not known yet, by job
	dependents   map[string]map[string]bool // jobs that depend on each job
	now          func() time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		Jobs:               map[string]*Job{},
		Open:               map[string]*Job{},
		Waiting:            map[string]*Job{},
		Unrecorded:         map[string]*Job{},
		ResourcesByTeam:    map[string]Resources{},
		ResourcesByMachine: map[string]Resources{},
		ClaimsByMachine:    map[string]map[TaskID]*Job{},
		JobsByIntake:       map[string][]string{},
		FailedAt:           map[TaskID]time.Time{},
		OnMachineChange:    func(string) {},
		orphanChunks:       map[string]map[int][]Task{},
		dependents:         map[string]map[string]bool{},
		now:                now,
	}
}

// ApplyJob enters a job's own record. Its absence changes nothing: job records are
// never deleted.
func (t *Table) ApplyJob(jobID string, raw wire.Raw) error {
	if raw == nil {
		return nil
	}
	var record Record
	if err := wire.Unmarshal(raw, &record); err != nil {
		return err
	}
	t.putRecord(jobID, record).hasOwnRecord = true
	return nil
}

// ApplyIntake enters a record of several new jobs, or its absence. A job's own
// record takes precedence over it; of two intake records that hold the same job,
// after a user's repeat, the older counts, whatever the order in which they are
// read. So every controller comes to the same job.
func (t *Table) ApplyIntake(key string, raw wire.Raw, version uint64) error {
	if raw == nil {
		delete(t.JobsByIntake, key)
		return nil
	}
	var intake IntakeRecord
	if err := wire.Unmarshal(raw, &intake); err != nil {
		return err
	}
	jobIDs := make([]string, 0, len(intake.Jobs))
	for jobID, record := range intake.Jobs {
		jobIDs = append(jobIDs, jobID)
		if j := t.Jobs[jobID]; j == nil || !j.hasOwnRecord && version < j.intakeVersion {
			t.putRecord(jobID, record).intakeVersion = version
		}
	}
	t.JobsByIntake[key] = jobIDs
	return nil
}

// IntakeFinished reports whether every job of an intake record has a final record of its
// own, so that nothing needs the intake record any more.
func (t *Table) IntakeFinished(key string) bool {
	for _, jobID := range t.JobsByIntake[key] {
		if j := t.Jobs[jobID]; j == nil || !j.hasOwnRecord || !j.Record.Phase.Final() {
			return false
		}
	}
	return true
}

// putRecord enters a job's record.
func (t *Table) putRecord(jobID string, record Record) *Job {
	j := t.Jobs[jobID]
	if j == nil {
		j = &Job{ID: jobID, Chunks: map[int][]Task{}, Claims: map[int]Task{}, FirstSeen: t.now()}
		t.Jobs[jobID] = j
	}
	j.Counts[Pending] += record.Tasks - j.Record.Tasks
	formerDependencies := j.dependencies()
	t.removeDependencies(j)
	j.Record = record
	t.addDependencies(j)
	if record.Spec != nil {
		// Final records carry no description; what is needed to account for
		// claims that are released later stays.
		j.Need, j.Team = ResourcesPerTask(record.Spec), record.Spec.Team
	}
	t.propagate(jobID, formerDependencies)
	for chunk, tasks := range t.orphanChunks[jobID] {
		t.replaceChunk(j, chunk, tasks)
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
	var record ChunkRecord
	if raw != nil {
		if err := wire.Unmarshal(raw, &record); err != nil {
			return err
		}
	}
	j := t.Jobs[jobID]
	if j == nil {
		if t.orphanChunks[jobID] == nil {
			t.orphanChunks[jobID] = map[int][]Task{}
		}
		t.orphanChunks[jobID][chunk] = record.Tasks
		return nil
	}
	t.replaceChunk(j, chunk, record.Tasks)
	return nil
}

// replaceChunk enters the tasks of a chunk; none means that it has no record. Only
// the tasks that differ are entered anew: a write changes a few tasks of a chunk,
// and OnMachineChange would be called for the machine of every other one.
func (t *Table) replaceChunk(j *Job, chunk int, tasks []Task) {
	old, first := j.Chunks[chunk], chunk*j.Record.ChunkSize
	unchanged := func(i int) bool { return i < len(old) && i < len(tasks) && old[i] == tasks[i] }
	for i, task := range old {
		if !unchanged(i) {
			t.removeTask(j, first+i, task)
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
		if unchanged(i) {
			continue
		}
		var before Task
		if i < len(old) {
			before = old[i]
		}
		t.addTask(j, first+i, before, task)
	}
}

// removeTask takes a task out of the counts and the indexes. A claim is no longer
// counted against its team and its machine.
func (t *Table) removeTask(j *Job, number int, task Task) {
	j.Counts[task.State]--
	if task.State != Claimed {
		return
	}
	id, machine := TaskID{j.ID, number}, task.Machine
	delete(j.Claims, number)
	t.ResourcesByTeam[j.Team] = t.ResourcesByTeam[j.Team].Sub(j.Need)
	delete(t.ClaimsByMachine[machine], id)
	t.OnMachineChange(machine)
	t.ResourcesByMachine[machine] = t.ResourcesByMachine[machine].Sub(j.Need)
	if len(t.ClaimsByMachine[machine]) == 0 {
		delete(t.ClaimsByMachine, machine)
		delete(t.ResourcesByMachine, machine)
	}
}

// addTask enters a task in the counts and the indexes; before is the task as it
// was until now.
func (t *Table) addTask(j *Job, number int, before, task Task) {
	j.Counts[task.State]++
	id, machine := TaskID{j.ID, number}, task.Machine
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
	if t.ClaimsByMachine[machine] == nil {
		t.ClaimsByMachine[machine] = map[TaskID]*Job{}
	}
	t.ClaimsByMachine[machine][id] = j
	t.OnMachineChange(machine)
	t.ResourcesByMachine[machine] = t.ResourcesByMachine[machine].Add(j.Need)
}
