package controller

import (
	"fmt"
	"testing"
	"time"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// With a budget of one write in each pass, claims alternate with releases whose tasks are claimed
// again. Guards against passes that spend every write on releases of hundreds of tasks while pending
// jobs could be placed.
func TestReleasesAndClaimsAlternateUnderASmallWriteBudget(t *testing.T) {
	const jobsEach = 6
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.raiseTeamLimit()
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
	// All tasks of these jobs were stopped. The releases of each job must be stored before its tasks
	// can be claimed again.
	tasks := map[string][]wire.TaskStatus{}
	for i := range jobsEach {
		jobID := fmt.Sprintf("wk-1%d", i)
		for index, task := range controller.Table.Jobs[jobID].Claims {
			tasks[task.Machine] = append(tasks[task.Machine], wire.TaskStatus{Task: fmt.Sprintf("%s/%d", jobID, index), Attempt: task.Attempt,
				State: wire.TaskExited, ExitCause: wire.ExitCauseStopped})
		}
	}
	for machineName, statuses := range tasks {
		controller.receiveHeartbeat(env.heartbeat(machineName, 1, controller.fencingToken(), statuses...))
	}
	for i := range jobsEach {
		env.submit(controller, arrayJob(fmt.Sprintf("wk-2%d", i), 1))
	}
	// The write budget allows one write in each pass.
	controller.Limits.WriteRPS = 2.5 / tuning.BudgetShare
	controller.Limiter = store.NewLimiter(1000, 2.5, 64, env.clock.now)
	controller.Lock()
	controller.Peers.UpdateStoreBudgetShare()
	controller.Unlock()
	writes := map[string]int{}
	for range jobsEach {
		controller.Lock()
		pending := controller.scheduler.PlanPass()
		controller.Unlock()
		if len(pending) != 1 {
			t.Fatalf("%d writes in a pass whose budget allows one", len(pending))
		}
		writes[pending[0].Kind]++
		// The write stays in flight; the releases and claims of the other jobs are still due.
	}
	if writes["release"] != jobsEach/2 || writes["claim"] != jobsEach/2 {
		t.Errorf("writes by kind: %v, want half of them releases and half claims", writes)
	}
}

// Four jobs of one task are submitted each second, and a cancellation of one job is requested, which
// is pending, running or done by then. Every job must reach its final state within 20 s after the last
// submission, no claim must remain, and the writes must be at most five for each job.
func TestAStreamOfSingleTaskJobsCostsFewWrites(t *testing.T) {
	sim := newSimulation(t, 3, 1000)
	for _, machine := range sim.machines {
		machine.ImagePullTime = time.Second
	}
	sim.startGrace = 5 * time.Second // starts in flight wait for images
	eventsBefore := len(sim.store.Events)
	const seconds = 40
	jobs := 0
	cancelled := map[int]bool{}
	for second := range seconds + 20 {
		for k := range 4 {
			if second >= seconds {
				break
			}
			jobID := fmt.Sprintf("wk-%d", jobs)
			sim.taskDuration[jobID] = 5 * time.Second
			sim.submit(sim.otherControllers(nil)[(second+k)%3], arrayJob(jobID, 1))
			jobs++
		}
		if cancelIndex := jobs - 1 - 4*((5*second)%7); second < seconds && cancelIndex >= 0 { // the job is pending, running or done
			jobID := fmt.Sprintf("wk-%d", cancelIndex)
			_, status, _ := sendRequest(sim.otherControllers(nil)[second%3], "POST", "/work/"+jobID+"/cancel", nil)
			if status.State == wire.StateCancelled {
				cancelled[cancelIndex] = true
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
		t.Errorf("claims remain on %d machines", len(controller.Table.ClaimsByMachine))
	}
	if len(cancelled) < seconds/2 {
		t.Errorf("only %d jobs were cancelled, want at least %d", len(cancelled), seconds/2)
	}
	if changes := len(sim.store.Events) - eventsBefore; changes > 5*jobs {
		t.Errorf("%d changes for %d jobs, want at most %d", changes, jobs, 5*jobs)
	} else {
		t.Logf("%d changes for %d jobs, %d cancelled", changes, jobs, len(cancelled))
	}
}
