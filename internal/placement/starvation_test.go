package placement

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// runningTask is a running task of the simulation. It ends at the beginning of endRound.
type runningTask struct {
	job      *jobs.Job
	task     int
	machine  *Machine
	endRound int
}

// starvationSim simulates rounds of scheduling passes over a small fleet, on which tasks
// end at different times.
type starvationSim struct {
	machines    []*Machine
	jobs        []*jobs.Job
	running     []runningTask
	submitRound map[string]int // round, by job
	startRound  map[string]int // round, by job
	startedJobs map[string]int // number of jobs that started, by team and GPUs of a task
}

const (
	simRounds       = 60
	simStarvedAfter = 8 // rounds
)

func newStarvationSim() *starvationSim {
	s := &starvationSim{submitRound: map[string]int{}, startRound: map[string]int{}, startedJobs: map[string]int{}}
	for i := range 4 {
		s.machines = append(s.machines, newMachine(fmt.Sprintf("m%d", i), "a", "z", Batch, 4))
	}
	return s
}

func (s *starvationSim) submit(round int, id, team string, tasks int, gpus float64) {
	j := claimTasks(newArray(id, tasks, func(spec *wire.JobSpec) { spec.Team, spec.GPUs, spec.CPUs = team, gpus, gpus }))
	j.ReadyAtMs = int64(round)
	s.jobs = append(s.jobs, j)
	s.submitRound[id] = round
}

// endTasks completes the tasks whose endRound has come.
func (s *starvationSim) endTasks(round int) {
	var running []runningTask
	for _, r := range s.running {
		if r.endRound > round {
			running = append(running, r)
			continue
		}
		r.job.Chunks[0][r.task].State = jobs.Completed
		r.machine.Free = r.machine.Free.Add(r.job.TaskResources)
	}
	s.running = running
}

// input returns the input of a round's pass: team x has a guarantee larger than the
// fleet, team y has a limit and no guarantee.
func (s *starvationSim) input(round int) Input {
	in := newInput("a", s.machines)
	in.Leader, in.MaxJobs = "a", 1000
	in.Allowances["x"].Guarantee = quota.Amount{GPUs: 1000}
	in.Allowances["y"] = &quota.Allowance{Limit: quota.Amount{GPUs: 12}}
	for _, r := range s.running {
		in.Allowances[r.job.Team].Used = in.Allowances[r.job.Team].Used.Add(r.job.TaskResources.QuotaAmount())
	}
	for _, j := range s.jobs {
		d := newDemand(j)
		_, started := s.startRound[j.ID]
		d.Starved = !started && round-s.submitRound[j.ID] > simStarvedAfter
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pass runs a scheduling pass and starts the claimed tasks.
func (s *starvationSim) pass(round int) {
	in := s.input(round)
	free := map[*Machine]jobs.Resources{}
	for _, m := range s.machines {
		free[m] = m.Free
	}
	out := Schedule(in)
	for _, m := range s.machines {
		m.Free = free[m] // reservations end with the pass
	}
	for i, c := range out.Claims {
		c.Job.Chunks[0][c.Task].State = jobs.Claimed
		m := in.Fleet.Machine(c.Machine)
		m.Free = m.Free.Sub(c.Job.TaskResources)
		s.running = append(s.running, runningTask{job: c.Job, task: c.Task, machine: m, endRound: round + 1 + i%3})
		if _, started := s.startRound[c.Job.ID]; !started {
			s.startRound[c.Job.ID] = round
			s.startedJobs[fmt.Sprint(c.Job.Team, c.Job.TaskResources.GPUs)]++
		}
	}
}

// A continuous stream of small jobs of a team within its guarantee requests more than
// the fleet has, and its tasks end at different times. Jobs of a team without a guarantee,
// some of them with tasks as large as a machine, must still start: at least half of each
// class, and each large job that starts within a bounded wait.
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
	for _, class := range []string{"y1", "y4"} {
		if 2*sim.startedJobs[class] < simRounds/10 {
			t.Errorf("class %s: %d of %d jobs started, want at least half", class, sim.startedJobs[class], simRounds/10)
		}
	}
	if sim.startedJobs["x1"] == 0 {
		t.Error("no job of the stream started")
	}
	for id, startRound := range sim.startRound {
		if wait := startRound - sim.submitRound[id]; id[len("wk-")] == '3' && wait > 3*simStarvedAfter {
			t.Errorf("large job %s started after %d rounds, want at most %d", id, wait, 3*simStarvedAfter)
		}
	}
}

// Small tasks take room as soon as it becomes free. Without a reserved machine, a task
// that needs a whole machine waits forever.
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
				t.Fatalf("small tasks placed on %v, want %d on a and %d on b", got, c.wantA, c.wantB)
			}
		})
	}
}
