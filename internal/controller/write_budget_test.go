package controller

import (
	"fmt"
	"testing"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// With one change due at a time, ends that lead to new starts and claims take
// turns. Guards against passes that come often and give every change to the ends
// of hundreds of tasks, while work waits beside room.
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
		pending := controller.scheduler.Schedule()
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
