package placement

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// newJob returns an open job of team x whose tasks each need one CPU, one GPU and 1 GB of RAM.
// edit, if not nil, changes the spec first.
func newJob(id, kind, priority string, tasks int, edit func(*wire.JobSpec)) *jobs.Job {
	spec := &wire.JobSpec{ID: id, Team: "x", Kind: kind, Priority: priority, Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 5, Spot: true}
	if edit != nil {
		edit(spec)
	}
	j := &jobs.Job{ID: id, Record: jobs.Record{Phase: jobs.Open, Tasks: tasks, TasksPerChunk: 64, Spec: spec}, Phase: jobs.Open,
		Priority: jobs.PriorityRank(priority), TaskResources: jobs.ResourcesPerTask(spec), Team: spec.Team, Chunks: map[int][]jobs.Task{}, Claims: map[int]jobs.Task{}}
	if spec.DeadlineS != nil {
		j.DeadlineMs = int64(*spec.DeadlineS * 1000)
	}
	return j
}

// newArray returns a job array of normal priority.
func newArray(id string, tasks int, edit func(*wire.JobSpec)) *jobs.Job {
	return newJob(id, wire.KindArray, wire.PriorityNormal, tasks, edit)
}

// claimTasks claims the job's first tasks, one on each of the machines.
func claimTasks(j *jobs.Job, machines ...string) *jobs.Job {
	j.Chunks[0] = make([]jobs.Task, j.Record.Tasks)
	for i, name := range machines {
		j.Chunks[0][i] = jobs.Task{State: jobs.Claimed, Machine: name, Incarnation: 3}
		j.Claims[i] = j.Chunks[0][i]
	}
	return j
}

// newMachine returns a schedulable machine without tasks.
func newMachine(name, owner, zone string, role Role, gpus float64) *Machine {
	total := jobs.Resources{CPUs: 8, GPUs: gpus, RAM: 64}
	return &Machine{Name: name, Owner: owner, Zone: zone, Type: "g", Role: role, Schedulable: true, Incarnation: 3, Total: total, Free: total}
}

// newFullMachine returns a batch machine with one GPU in zone z1, fully occupied by a task of the
// resident job.
func newFullMachine(resident *jobs.Job) *Machine {
	m := newMachine("m", "a", "z1", Batch, 1)
	m.Free = jobs.Resources{}
	m.Tasks = []ClaimedTask{{ID: jobs.TaskID{Job: resident.ID}, Job: resident}}
	return m
}

// newDemand returns the demand for all pending tasks of a job.
func newDemand(j *jobs.Job) *Demand {
	d := &Demand{Job: j, ExcludedMachines: map[string]bool{}}
	for i := range j.Record.Tasks {
		if j.Task(i).State == jobs.Pending {
			d.Tasks = append(d.Tasks, i)
		}
	}
	return d
}

// newInput returns the input of a scheduling pass by controller self. The leader is L, and every
// job ranks the controllers a, b, L.
func newInput(self string, machines []*Machine, openJobs ...*jobs.Job) Input {
	in := Input{Self: self, Leader: "L", RankMembers: func(string) []string { return []string{"a", "b", "L"} }, Fleet: NewFleet(machines),
		Allowances: map[string]*quota.Allowance{"x": {}}, MaxJobs: 100}
	in.Fleet.SaveStates()
	for _, j := range openJobs {
		in.Demands = append(in.Demands, newDemand(j))
	}
	return in
}

// claimsByMachine counts the claims of a pass by machine.
func claimsByMachine(out Output) map[string]int {
	counts := map[string]int{}
	for _, c := range out.Claims {
		counts[c.Machine]++
	}
	return counts
}
