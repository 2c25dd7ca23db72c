package jobs

import (
	"time"

	"wheatspur/wire"
)

// Table holds all stored jobs and the indexes over them. It is changed only by its Apply methods,
// which receive the stored records in any order. It has no lock of its own: its owner's lock
// guards it.
type Table struct {
	Jobs map[string]*Job

	// Jobs by their derived phase.
	Open                map[string]*Job // jobs whose tasks may run
	Waiting             map[string]*Job // jobs with unfinished dependencies
	AwaitingFinalRecord map[string]*Job // jobs that are cancelled along with a dependency and have no final record yet

	// Claims and the resources that they take. A claim counts until it is released, even if its job
	// has ended.
	ResourcesByTeam    map[string]Resources
	ResourcesByMachine map[string]Resources
	ClaimsByMachine    map[string]map[TaskID]*Job

	JobsByIntake  map[string][]string  // ids of the jobs in each intake record
	LastFailureAt map[TaskID]time.Time // when a task's number of failures last increased

	// OnMachineChange is called with every machine whose claims, or the jobs of whose claims, have
	// changed.
	OnMachineChange func(machine string)

	orphanChunks map[string]map[int][]Task  // chunks of jobs that are not known yet, by job id and chunk number
	dependents   map[string]map[string]bool // ids of the jobs that depend on each job
	now          func() time.Time
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		Jobs:                map[string]*Job{},
		Open:                map[string]*Job{},
		Waiting:             map[string]*Job{},
		AwaitingFinalRecord: map[string]*Job{},
		ResourcesByTeam:     map[string]Resources{},
		ResourcesByMachine:  map[string]Resources{},
		ClaimsByMachine:     map[string]map[TaskID]*Job{},
		JobsByIntake:        map[string][]string{},
		LastFailureAt:       map[TaskID]time.Time{},
		OnMachineChange:     func(string) {},
		orphanChunks:        map[string]map[int][]Task{},
		dependents:          map[string]map[string]bool{},
		now:                 now,
	}
}

// ApplyJob applies a job's own record. A missing record (nil) changes nothing: job records are never
// deleted.
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

// ApplyIntake applies an intake record; nil means that it was deleted. A job's own record takes
// precedence over an intake record. If a user's repeated submission put a job in two intake
// records, the older one counts, whatever the order in which they are read, so that all
// controllers hold the same job.
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

// AllIntakeJobsFinal reports whether every job of an intake record has a final record of its own, so
// that the intake record is no longer needed.
func (t *Table) AllIntakeJobsFinal(key string) bool {
	for _, jobID := range t.JobsByIntake[key] {
		if j := t.Jobs[jobID]; j == nil || !j.hasOwnRecord || !j.Record.Phase.Final() {
			return false
		}
	}
	return true
}

// putRecord sets a job's record and updates everything that is derived from it.
func (t *Table) putRecord(jobID string, record Record) *Job {
	j := t.Jobs[jobID]
	if j == nil {
		j = &Job{ID: jobID, Chunks: map[int][]Task{}, Claims: map[int]Task{}, FirstSeen: t.now()}
		t.Jobs[jobID] = j
	}
	j.TaskCounts[Pending] += record.Tasks - j.Record.Tasks
	formerDependencies := j.dependencies()
	t.removeDependencies(j)
	j.Record = record
	t.addDependencies(j)
	if record.Spec != nil {
		// A final record may have no spec. Need and Team then keep their values, to account for claims
		// that are released later.
		j.TaskResources, j.Team = ResourcesPerTask(record.Spec), record.Spec.Team
	}
	t.propagate(jobID, formerDependencies)
	for chunk, tasks := range t.orphanChunks[jobID] {
		t.replaceChunk(j, chunk, tasks)
	}
	delete(t.orphanChunks, jobID)
	return j
}

// ApplyChunk applies a chunk record; nil means that it was deleted.
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

// replaceChunk replaces the tasks of a chunk; no tasks means that it has no record. It updates only
// the tasks that differ: a write changes few tasks of a chunk, and otherwise OnMachineChange would
// be called for the machine of every other one too.
func (t *Table) replaceChunk(j *Job, chunk int, tasks []Task) {
	old, first := j.Chunks[chunk], chunk*j.Record.TasksPerChunk
	unchanged := func(i int) bool { return i < len(old) && i < len(tasks) && old[i] == tasks[i] }
	for i, task := range old {
		if !unchanged(i) {
			t.removeTask(j, first+i, task)
		}
	}
	if len(old) == 0 {
		j.TaskCounts[Pending] -= j.ChunkLen(chunk)
	}
	if len(tasks) == 0 {
		delete(j.Chunks, chunk)
		j.TaskCounts[Pending] += j.ChunkLen(chunk)
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

// removeTask removes a task from the counts and indexes. If it was claimed, its resources no longer
// count against its team and its machine.
func (t *Table) removeTask(j *Job, number int, task Task) {
	j.TaskCounts[task.State]--
	if task.State != Claimed {
		return
	}
	id, machine := TaskID{j.ID, number}, task.Machine
	delete(j.Claims, number)
	t.ResourcesByTeam[j.Team] = t.ResourcesByTeam[j.Team].Sub(j.TaskResources)
	delete(t.ClaimsByMachine[machine], id)
	t.OnMachineChange(machine)
	t.ResourcesByMachine[machine] = t.ResourcesByMachine[machine].Sub(j.TaskResources)
	if len(t.ClaimsByMachine[machine]) == 0 {
		delete(t.ClaimsByMachine, machine)
		delete(t.ResourcesByMachine, machine)
	}
}

// addTask adds a task to the counts and indexes; before is its previous form.
func (t *Table) addTask(j *Job, number int, before, task Task) {
	j.TaskCounts[task.State]++
	id, machine := TaskID{j.ID, number}, task.Machine
	if task.Failures > before.Failures {
		t.LastFailureAt[id] = t.now()
	} else if task.Failures == 0 && before.Failures > 0 {
		delete(t.LastFailureAt, id)
	}
	if task.State != Claimed {
		return
	}
	j.Claims[number] = task
	t.ResourcesByTeam[j.Team] = t.ResourcesByTeam[j.Team].Add(j.TaskResources)
	if t.ClaimsByMachine[machine] == nil {
		t.ClaimsByMachine[machine] = map[TaskID]*Job{}
	}
	t.ClaimsByMachine[machine][id] = j
	t.OnMachineChange(machine)
	t.ResourcesByMachine[machine] = t.ResourcesByMachine[machine].Add(j.TaskResources)
}
