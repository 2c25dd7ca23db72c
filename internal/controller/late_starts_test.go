package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// startDirectly submits a job of one task while no heartbeat is due, and returns the machine on which
// a direct call has started the task.
func (sim *simulation) startDirectly(jobID string) *simMachine {
	sim.t.Helper()
	sim.runUntilBeforeHeartbeats(2 * time.Second)
	sim.submit(sim.leader(), arrayJob(jobID, 1))
	sim.runPassesNow()
	for _, machine := range sim.machines {
		if sim.runningOn(machine, jobID) == 1 {
			return machine
		}
	}
	sim.t.Fatalf("no direct call has started a task of %s\n%s", jobID, sim)
	return nil
}

// endTasks lets all tasks of a job on a machine exit with the given cause.
func (sim *simulation) endTasks(machine *simMachine, jobID, cause string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, task := range machine.Tasks {
		if task.JobID == jobID {
			task.State, task.ExitCause = wire.TaskExited, cause
		}
	}
}

// listsTasksOf reports whether a machine lists any task of a job.
func (sim *simulation) listsTasksOf(machine *simMachine, jobID string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, task := range machine.Tasks {
		if task.JobID == jobID {
			return true
		}
	}
	return false
}

// repeatCalls delivers late copies of all direct calls that a machine has carried out.
func (sim *simulation) repeatCalls(machine *simMachine) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, call := range machine.pastCalls {
		machine.HandleDirectCall(sim.clock.now(), call)
	}
}

// A direct start is carried out and answered, its attempt ends and is reaped, and a late copy of the
// start arrives. Guards against the copy running a task that runs elsewhere by then, or whose job is
// cancelled: the machine had forgotten the attempt and still obeyed the token of the start.
func TestLateCopyOfDirectStartRunsNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cancel bool // the attempt ends because its job is cancelled, and not because the machine has no room
		fault  func(sim *simulation, owner *Controller)
	}{
		{"runs elsewhere, the owner has crashed", false, (*simulation).crash},
		{"runs elsewhere, the owner is there", false, func(*simulation, *Controller) {}},
		{"runs elsewhere, the owner has restarted", false, func(sim *simulation, owner *Controller) { sim.restartController(owner.Self.Label) }},
		{"cancelled, the owner has crashed", true, (*simulation).crash},
		{"cancelled, the owner is there", true, func(*simulation, *Controller) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 12)
			machine := sim.startDirectly("wk-1")
			owner, _ := sim.ownerOf(machine.Machine)
			if tc.cancel {
				if !sim.cancelAt(sim.leader(), "wk-1") {
					t.Fatal("not confirmed")
				}
			} else {
				sim.endTasks(machine, "wk-1", wire.ExitCauseNoRoom)
			}
			sim.run(20 * time.Second)
			if sim.listsTasksOf(machine, "wk-1") {
				t.Fatalf("the attempt is not reaped\n%s", sim)
			}
			if !tc.cancel {
				sim.checkTasks("after the first attempt", "wk-1", 1, 2)
			}
			tc.fault(sim, owner)
			sim.repeatCalls(machine)
			sim.run(10 * time.Second)
			if sim.runningOn(machine, "wk-1") != 0 {
				t.Errorf("a late copy of the start runs the task\n%s", sim)
			}
		})
	}
}

// Tasks end on the machines for minutes under one membership. Guards against exited attempts that pile
// up in the heartbeats, against starts that wait for heartbeats because their token can't be raised
// any more, and against tokens that are used up.
func TestExitsAreReapedAndStartsStayDirectUnderOneMembership(t *testing.T) {
	const rounds, tasksPerRound = 60, 12
	sim := newSimulation(t, 1, 0)
	membership := sim.leader().Membership.FencingToken
	for round := range rounds {
		jobID := fmt.Sprintf("wk-%d", round)
		sim.taskDuration[jobID] = 4 * time.Second
		sim.runUntilBeforeHeartbeats(2 * time.Second)
		sim.submit(sim.leader(), arrayJob(jobID, tasksPerRound))
		sim.runPassesNow()
		if running := sim.runningTasksOf(jobID); running != tasksPerRound {
			t.Fatalf("round %d: %d of %d tasks were started by direct calls\n%s", round, running, tasksPerRound, sim)
		}
		sim.run(12 * time.Second)
		sim.forEachMachine(func(machine *simMachine) {
			if len(machine.Tasks) != 0 {
				t.Fatalf("round %d: %d attempts are still listed\n%s", round, len(machine.Tasks), sim)
			}
		})
	}
	if sim.leader().Membership.FencingToken != membership {
		t.Fatal("the membership has changed")
	}
	sim.forEachMachine(func(machine *simMachine) {
		if used := machine.FencingToken - sim.leader().fencingToken(); used == 0 || used > machine.Sequence {
			t.Errorf("%d tokens were used in %d messages of %s, want at most one each", used, machine.Sequence, machine.Machine)
		}
	})
}

// holdUpStarts submits jobs one after the other whose only start is a direct call that is held up, and
// cancels each. It returns the machine whose calls are held up, which has room for one task.
func (sim *simulation) holdUpStarts(count int) *simMachine {
	sim.t.Helper()
	machine := sim.startDirectly("wk-1")
	sim.mu.Lock()
	machine.callsDelayed = true
	sim.mu.Unlock()
	for i := range count {
		jobID := fmt.Sprintf("wk-%d", 100+i)
		for machine.nextHeartbeat.Sub(sim.clock.now()) < 2*time.Second {
			sim.step()
		}
		held := len(machine.delayedCalls)
		sim.submit(sim.leader(), arrayJob(jobID, 1))
		sim.runPassesNow()
		if len(machine.delayedCalls) == held {
			sim.t.Fatalf("no direct start of %s is held up\n%s", jobID, sim)
		}
		if !sim.cancelAt(sim.leader(), jobID) {
			sim.t.Fatalf("the cancellation of %s is not confirmed", jobID)
		}
		sim.run(9 * time.Second)
		sim.checkClaimsOfRunningTask(machine, fmt.Sprintf("%d starts are held up", i+1))
	}
	return machine
}

// checkClaimsOfRunningTask checks that no claim is left on a machine but that of its running task.
func (sim *simulation) checkClaimsOfRunningTask(machine *simMachine, when string) {
	sim.t.Helper()
	if owner, _ := sim.ownerOf(machine.Machine); owner.claimsOn(machine.Machine) != 1 {
		sim.t.Fatalf("%s: %d claims on the machine, want that of the running task\n%s", when, owner.claimsOn(machine.Machine), sim)
	}
}

// deliverHeldStarts delivers the direct calls that are held up, after the bound on cancellations.
// onTaskStart fails the test if one of them runs a task.
func (sim *simulation) deliverHeldStarts(machine *simMachine) {
	sim.t.Helper()
	sim.run(cancelBound)
	sim.mu.Lock()
	machine.callsDelayed = false
	sim.mu.Unlock()
	sim.run(5 * time.Second)
}

// Direct starts to one machine are held up one after the other, each with another token, and their jobs
// are cancelled. Guards against a membership whose tokens are used up after fifteen of them: the
// sixteenth start was not fenced off, and its claim was kept.
func TestEveryHeldStartOfACancelledJobIsFenced(t *testing.T) {
	const heldStarts = 20
	sim := newSimulation(t, 1, 0)
	for _, machine := range sim.machines[1:] {
		sim.drainMachine(machine.Machine, "one machine for all jobs")
	}
	sim.deliverHeldStarts(sim.holdUpStarts(heldStarts))
}

// A controller of a version without token ranges leads until one with ranges is there. Guards against a
// held start of a cancelled job that runs whenever it arrives, because beside that version no token
// was raised.
func TestHeldStartIsFencedBesideAVersionWithoutTokenRanges(t *testing.T) {
	for _, tc := range []struct {
		name      string
		leaderOld bool
	}{{"which led before", true}, {"which follows", false}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 0)
			old := sim.leader()
			if !tc.leaderOld {
				old = sim.otherControllers(old)[0]
			}
			sim.storeSessionVersion(old.Self.Label, true)
			for _, controller := range sim.otherControllers(old) {
				if controller != sim.leader() {
					sim.restartController(controller.Self.Label) // which changes the membership
					break
				}
			}
			sim.run(20 * time.Second)
			machines := sim.machines
			for _, machine := range machines {
				if owner, _ := sim.ownerOf(machine.Machine); owner == old {
					sim.drainMachine(machine.Machine, "its owner stands for another version")
				}
			}
			sim.deliverHeldStarts(sim.holdUpStarts(1))
		})
	}
}

// A controller of a version without token ranges leads, and its membership has a single token.
// Guards against a direct start that could not be fenced off: starts go in the answers to heartbeats.
func TestStartsGoInHeartbeatAnswersWhileTheTokenCannotBeRaised(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	record := *controller.Membership
	record.FencingToken, record.TokensBelow = record.LastToken()+1, 0
	controller.Lock()
	err := applyMembership(controller, record)
	controller.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	token := controller.fencingToken()
	controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	controller.awaitDirectCalls()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("the task is not claimed")
	}
	controller.Lock()
	called := controller.Workers.ByMachine["h1"].LastCallAt
	controller.Unlock()
	if !called.IsZero() {
		t.Fatal("a direct call was made under a token that can't be raised")
	}
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 1 || commands[0].Verb != wire.VerbStart {
		t.Fatalf("commands %v, want the start", commands)
	}
	// The answer is lost, and the next membership has a range.
	env.clock.add(2 * controller.Settings.HeartbeatInterval())
	env.refreshAll()
	next := *controller.Membership
	next.FencingToken, next.TokensBelow = record.LastToken()+tuning.TokenRange, tuning.TokenRange-1
	controller.Lock()
	err = applyMembership(controller, next)
	controller.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	env.runPasses()
	controller.awaitDirectCalls()
	controller.Lock()
	called = controller.Workers.ByMachine["h1"].LastCallAt
	controller.Unlock()
	if called.IsZero() {
		t.Fatal("no direct call under a membership with a range of tokens")
	}
}
