package placement

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// runningTask is a task of the simulation that runs until a round begins.
type runningTask struct {
	job     *jobs.Job
	task    int
	machine *Machine
	ends    int
}

// starvationSim runs passes round after round over a small fleet, on which tasks
// end at different times.
type starvationSim struct {
	machines  []*Machine
	open      []*jobs.Job
	running   []runningTask
	submitted map[string]int // round, by job
	began     map[string]int // round, by job
	served    map[string]int // jobs that began, by team and GPUs of a task
}

const (
	simRounds       = 60
	simStarvedAfter = 8 // rounds
)

func newStarvationSim() *starvationSim {
	s := &starvationSim{submitted: map[string]int{}, began: map[string]int{}, served: map[string]int{}}
	for i := range 4 {
		s.machines = append(s.machines, newMachine(fmt.Sprintf("m%d", i), "a", "z", Batch, 4))
	}
	return s
}

func (s *starvationSim) submit(round int, id, team string, tasks int, size float64) {
	j := claimTasks(newArray(id, tasks, func(spec *wire.JobSpec) { spec.Team, spec.GPUs, spec.CPUs = team, size, size }))
	j.ReadyAtMs = int64(round)
	s.open = append(s.open, j)
	s.submitted[id] = round
}

// endTasks ends the tasks whose time is over.
func (s *starvationSim) endTasks(round int) {
	var still []runningTask
	for _, r := range s.running {
		if r.ends > round {
			still = append(still, r)
			continue
		}
		r.job.Chunks[0][r.task].State = jobs.Completed
		r.machine.Free = r.machine.Free.Add(r.job.Need)
	}
	s.running = still
}

// input is the pass of a round: team x has a guarantee beyond the fleet, team y
// has a limit and no guarantee.
func (s *starvationSim) input(round int) Input {
	in := newInput("a", s.machines)
	in.Leader, in.MaxJobs = "a", 1000
	in.Teams["x"].Guarantee = quota.Amount{GPUs: 1000}
	in.Teams["y"] = &quota.Allowance{Limit: quota.Amount{GPUs: 12}}
	for _, r := range s.running {
		in.Teams[r.job.Team].Used = in.Teams[r.job.Team].Used.Add(r.job.Need.Amount())
	}
	for _, j := range s.open {
		d := newDemand(j)
		_, began := s.began[j.ID]
		d.Starved = !began && round-s.submitted[j.ID] > simStarvedAfter
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pass places tasks and starts what it has claimed.
func (s *starvationSim) pass(round int) {
	in := s.input(round)
	free := map[*Machine]jobs.Resources{}
	for _, m := range s.machines {
		free[m] = m.Free
	}
	out := Schedule(in)
	for _, m := range s.machines {
		m.Free = free[m] // what a pass reserves is free again
	}
	for i, c := range out.Claims {
		c.Job.Chunks[0][c.Task].State = jobs.Claimed
		m := in.Fleet.Machine(c.Machine)
		m.Free = m.Free.Sub(c.Job.Need)
		s.running = append(s.running, runningTask{job: c.Job, task: c.Task, machine: m, ends: round + 1 + i%3})
		if _, began := s.began[c.Job.ID]; !began {
			s.began[c.Job.ID] = round
			s.served[fmt.Sprint(c.Job.Team, c.Job.Need.GPUs)]++
		}
	}
}

// A stream of small jobs of a team within its guarantee asks for more than the
// fleet has, round after round, and its tasks end at different times. Beside
// it, jobs of a team without a guarantee, one of them with tasks as large as a
// machine, begin before long, and at least half of each kind is served.
func TestStreamOfSmallJobsStarvesNoTeamAndNoLargeJob(t *testing.T) {
	sim := newStarvationSim()
	for round := range simRounds {
		for i := range 6 {
			sim.submit(round, fmt.Sprintf("wk-1%03d%d", round, i), "x", 2, 1)
		}
		if round%10 == 0 {
			sim.submit(round, fmt.Sprintf("wk-2%03d", round), "y", 3, 1)
			sim.submit(round, fmt.Sprintf("wk-3%03d", round), "y", 2, 4) // whole machines
		}
		sim.endTasks(round)
		sim.pass(round)
	}
	for _, kind := range []string{"y1", "y4"} {
		if 2*sim.served[kind] < simRounds/10 {
			t.Errorf("%s: %d of %d jobs began", kind, sim.served[kind], simRounds/10)
		}
	}
	if sim.served["x1"] == 0 {
		t.Error("the stream itself starves")
	}
	for id, began := range sim.began {
		if wait := began - sim.submitted[id]; id[len("wk-")] == '3' && wait > 3*simStarvedAfter {
			t.Errorf("large job %s began after %d rounds", id, wait)
		}
	}
}

// A stream of small tasks
// takes room as it comes free; a task that needs a whole machine once waited for
// ever.
func TestStarvedLargeTaskHasAMachineReserved(t *testing.T) {
	for _, c := range []struct {
		name         string
		starved      bool
		wantA, wantB int
	}{
		{"not starved: small tasks take all room", false, 2, 1},
		{"starved: the machine closest to fitting is reserved", true, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newMachine("a", "a", "z", Batch, 4), newMachine("b", "a", "z", Batch, 4)
			a.Free, b.Free = jobs.Resources{CPUs: 6, GPUs: 2, RAM: 40}, jobs.Resources{CPUs: 1, GPUs: 1, RAM: 8}
			large := newArray("wk-9", 1, func(spec *wire.JobSpec) { spec.CPUs, spec.GPUs, spec.RAMGB = 8, 4, 64 })
			in := newInput("L", []*Machine{a, b}, newArray("wk-1", 8, nil), large)
			in.Demands[1].Starved = c.starved
			if got := claimsByMachine(Schedule(in)); got["a"] != c.wantA || got["b"] != c.wantB {
				t.Fatalf("small tasks get %v, want %d on a and %d on b", got, c.wantA, c.wantB)
			}
		})
	}
}
