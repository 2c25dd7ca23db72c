package placement

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

func job(jobID, kind, priority string, tasks int, edit func(*wire.JobSpec)) *jobs.Job {
	w := &wire.JobSpec{ID: jobID, Team: "x", Kind: kind, Priority: priority, Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 5, Spot: true}
	if edit != nil {
		edit(w)
	}
	j := &jobs.Job{ID: jobID, Record: jobs.Record{Phase: jobs.Open, Tasks: tasks, ChunkSize: 64, Spec: w}, Phase: jobs.Open,
		Priority: jobs.PriorityOrder(priority), Need: jobs.ResourcesPerTask(w), Team: w.Team, Chunks: map[int][]jobs.Task{}, Claims: map[int]jobs.Task{}}
	if w.DeadlineS != nil {
		j.DeadlineMs = int64(*w.DeadlineS * 1000)
	}
	return j
}

func machine(name, owner, zone string, role Role, gpus float64) *Machine {
	tot := jobs.Resources{CPUs: 8, GPUs: gpus, RAM: 64}
	return &Machine{Name: name, Owner: owner, Zone: zone, Type: "g", Role: role, Schedulable: true, Incarnation: 3, Total: tot, Free: tot}
}

func demand(j *jobs.Job) *Demand {
	d := &Demand{Job: j, Avoid: map[string]bool{}}
	for i := range j.Record.Tasks {
		if j.Task(i).State == jobs.Pending {
			d.Tasks = append(d.Tasks, i)
		}
	}
	return d
}

func input(me string, machines []*Machine, js ...*jobs.Job) Input {
	in := Input{Self: me, Leader: "L", RankNodes: func(string) []string { return []string{"a", "b", "L"} }, Fleet: NewFleet(machines),
		Teams: map[string]*quota.Allowance{"x": {}}, MaxJobs: 100}
	in.Fleet.Refresh()
	for _, j := range js {
		in.Demands = append(in.Demands, demand(j))
	}
	return in
}
