package controller

import (
	"fmt"
	"testing"
	"time"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// With a budget of one write a pass, releases that lead to new starts and claims take
// turns. Guards against passes that spend every write on the ends of hundreds of tasks
// while pending jobs would fit.
func TestReleasesAndClaimsTakeTurnsUnderAScarceWriteBudget(t *testing.T) {
	const jobsEach = 6
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.liftTeamLimit()
	for i := range 2 * jobsEach {
		env.addMachine(fmt.Sprintf("h%02d", i), "batch")
		controller.receiveHeartbeat(env.heartbeat(fmt.Sprintf("h%02d", i), 1, controller.fencingToken()))
	}
	for i := range jobsEach {
		env.submit(controller, arrayJob(fmt.Sprintf("wk-1%d", i), 4))
	}
	for range 4 {
		env.runPasses()
	}
	// Every task of these jobs was stopped: each job has ends to be stored, and
	// waits for new starts.
	tasks := map[string][]wire.TaskStatus{}
	for i := range jobsEach {
		id := fmt.Sprintf("wk-1%d", i)
		for k, task := range controller.Table.Jobs[id].Claims {
			tasks[task.Machine] = append(tasks[task.Machine], wire.TaskStatus{Task: fmt.Sprintf("%s/%d", id, k), Attempt: task.Attempt,
				State: wire.TaskExited, ExitCause: wire.ExitCauseStopped})
		}
	}
	for machineName, list := range tasks {
		controller.receiveHeartbeat(env.heartbeat(machineName, 1, controller.fencingToken(), list...))
	}
	for i := range jobsEach {
		env.submit(controller, arrayJob(fmt.Sprintf("wk-2%d", i), 1))
	}
	// Room for one change in each pass, not for two.
	controller.Limits.WriteRPS = 2.5 / tuning.BudgetShare
	controller.Limiter = store.NewLimiter(1000, 2.5, 64, env.clock.now)
	controller.Lock()
	controller.Peers.UpdateBudgetShare()
	controller.Unlock()
	wrote := map[string]int{}
	for range jobsEach {
		controller.Lock()
		pending := controller.scheduler.PlanPass()
		controller.Unlock()
		if len(pending) != 1 {
			t.Fatalf("%d writes in a pass with room for one", len(pending))
		}
		wrote[pending[0].Kind]++
		// It stays under way: the ends and claims of others are due still.
	}
	if wrote["release"] != jobsEach/2 || wrote["claim"] != jobsEach/2 {
		t.Errorf("writes: %v, want half of each", wrote)
	}
}

// Jobs of one task come four a second, a quarter of them is cancelled: none is left
// behind, none waits for long, and each costs a handful of writes.
func TestAStreamOfSingleTaskJobsCostsFewWrites(t *testing.T) {
	sim := newSimulation(t, 3, 1000)
	for _, machine := range sim.machines {
		machine.ImagePullTime = time.Second
	}
	sim.startGrace = 5 * time.Second // images under way
	begun := len(sim.store.Events)
	const seconds = 40
	jobs := 0
	cancelled := map[int]bool{}
	for s := range seconds + 20 {
		for k := range 4 {
			if s >= seconds {
				break
			}
			jobID := fmt.Sprintf("wk-%d", jobs)
			sim.taskDuration[jobID] = 5 * time.Second
			sim.submit(sim.otherControllers(nil)[(s+k)%3], arrayJob(jobID, 1))
			jobs++
		}
		if back := jobs - 1 - 4*((5*s)%7); s < seconds && back >= 0 { // at once, or when it runs, or is over
			jobID := fmt.Sprintf("wk-%d", back)
			_, status, _ := sendRequest(sim.otherControllers(nil)[s%3], "POST", "/work/"+jobID+"/cancel", nil)
			if status.State == wire.StateCancelled {
				cancelled[back] = true
				sim.cancelledAt[jobID] = sim.clock.now()
			}
		}
		sim.step()
	}
	controller := sim.leader()
	for i := range jobs {
		want := wire.StateDone
		if cancelled[i] {
			want = wire.StateCancelled
		}
		if status, known, _ := controller.api.LookupJob(fmt.Sprintf("wk-%d", i)); !known || status.State != want {
			t.Errorf("wk-%d: %+v, want %s", i, status, want)
		}
	}
	if len(controller.Table.ClaimsByMachine) != 0 {
		t.Errorf("claims are left on %d machines", len(controller.Table.ClaimsByMachine))
	}
	if len(cancelled) < seconds/2 {
		t.Errorf("%d cancelled: nothing is tested", len(cancelled))
	}
	if changes := len(sim.store.Events) - begun; changes > 5*jobs {
		t.Errorf("%d changes for %d jobs", changes, jobs)
	} else {
		t.Logf("%d changes for %d jobs, %d cancelled", changes, jobs, len(cancelled))
	}
}
