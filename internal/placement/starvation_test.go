package placement

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// A stream of small jobs of a team within its guarantee asks for more than the
// fleet has, round after round, and its tasks end at different times. Beside
// it, jobs of a team without a guarantee, one of them with tasks as large as a
// machine, begin before long, and at least half of each kind is served.
func TestAStreamOfSmallJobsStarvesNoTeamAndNoLargeJob(t *testing.T) {
	const rounds, agedAfter = 60, 8
	type running struct {
		j    *jobs.Job
		task int
		m    *Machine
		ends int
	}
	var open []*jobs.Job
	var live []running
	ms := []*Machine{}
	for i := range 4 {
		ms = append(ms, machine(fmt.Sprintf("m%d", i), "a", "z", Batch, 4))
	}
	born, began := map[string]int{}, map[string]int{}
	add := func(round int, jobID, team string, tasks int, size float64) {
		j := job(jobID, wire.KindArray, wire.PriorityNormal, tasks, func(w *wire.JobSpec) { w.Team, w.GPUs, w.CPUs = team, size, size })
		j.ReadyAtMs = int64(round)
		j.Chunks[0] = make([]jobs.Task, tasks)
		open, born[jobID] = append(open, j), round
	}
	served := map[string]int{}
	for round := range rounds {
		for i := range 6 {
			add(round, fmt.Sprintf("wk-1%03d%d", round, i), "x", 2, 1)
		}
		if round%10 == 0 {
			add(round, fmt.Sprintf("wk-2%03d", round), "y", 3, 1)
			add(round, fmt.Sprintf("wk-3%03d", round), "y", 2, 4) // whole machines
		}
		var still []running
		for _, r := range live {
			if r.ends > round {
				still = append(still, r)
				continue
			}
			r.j.Chunks[0][r.task].State = jobs.Completed
			r.m.Free = r.m.Free.Add(r.j.Need)
		}
		live = still
		free := map[*Machine]jobs.Resources{}
		for _, m := range ms {
			free[m] = m.Free
		}
		in := input("a", ms)
		in.Leader, in.MaxJobs = "a", 1000
		in.Teams["x"].Guarantee = quota.Amount{GPUs: 1000}
		in.Teams["y"] = &quota.Allowance{Limit: quota.Amount{GPUs: 12}}
		for _, r := range live {
			in.Teams[r.j.Team].Used = in.Teams[r.j.Team].Used.Add(r.j.Need.Amount())
		}
		for _, j := range open {
			d := demand(j)
			_, has := began[j.ID]
			d.Starved = !has && round-born[j.ID] > agedAfter
			if len(d.Tasks) > 0 {
				in.Demands = append(in.Demands, d)
			}
		}
		out := Schedule(in)
		for _, m := range ms {
			m.Free = free[m] // what a pass holds back is free again
		}
		for k, c := range out.Claims {
			c.Job.Chunks[0][c.Task].State = jobs.Claimed
			for _, m := range ms {
				if m.Name == c.Machine {
					m.Free = m.Free.Sub(c.Job.Need)
					live = append(live, running{c.Job, c.Task, m, round + 1 + k%3})
				}
			}
			if _, ok := began[c.Job.ID]; !ok {
				began[c.Job.ID] = round
				served[c.Job.Team+fmt.Sprint(c.Job.Need.GPUs)]++
			}
		}
	}
	for _, kind := range []string{"y1", "y4"} {
		if 2*served[kind] < rounds/10 {
			t.Errorf("%s: %d of %d jobs began", kind, served[kind], rounds/10)
		}
	}
	if served["x1"] == 0 {
		t.Error("the stream itself starves")
	}
	for jobID, at := range began {
		if wait := at - born[jobID]; jobID[3] == '3' && wait > 3*agedAfter {
			t.Errorf("large job %s began after %d rounds", jobID, wait)
		}
	}
}
