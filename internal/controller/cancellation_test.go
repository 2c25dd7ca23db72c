package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/wire"
)

// A direct start reaches its machine only after its job's cancellation was confirmed and the machine
// has sent another heartbeat, because the network delays it or the machine hangs. Guards against
// the task starting then, and against its claim counting forever towards the team's limit, so that
// other jobs never get that quota.
func TestADelayedDirectStartIsVoidAfterCancellationAndFreesQuota(t *testing.T) {
	for _, tc := range []struct {
		name        string
		hang        bool
		injectFault func(sim *simulation, owner *Controller) // follows the cancellation
	}{
		{"delayed in the network", false, func(*simulation, *Controller) {}},
		{"delayed by a machine that hangs", true, func(*simulation, *Controller) {}},
		{"of the same controller before a peer's restart", false, func(sim *simulation, owner *Controller) {
			sim.restartController(sim.otherControllers(owner)[0].Self.Label)
		}},
		{"of a former process of the controller", false, func(sim *simulation, owner *Controller) { sim.restartController(owner.Self.Label) }},
		{"of a former owner", false, func(sim *simulation, owner *Controller) {
			sim.expireSession(owner)
			delete(sim.controllers, owner.Self.Label)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4) // the quota of one full machine
			sim.runUntilBeforeHeartbeats(2 * time.Second)
			for _, machine := range sim.machines {
				machine.callsDelayed, machine.hung = !tc.hang, tc.hang
			}
			sim.submit(sim.leader(), arrayJob("wk-1", 4))
			sim.runPassesNow()
			var machine *simMachine
			for _, candidate := range sim.machines {
				if len(candidate.delayedCalls) > 0 {
					machine = candidate
				}
			}
			if machine == nil {
				t.Fatal("no direct start was delayed")
			}
			owner, _ := sim.ownerOf(machine.Machine)
			if !sim.cancelAt(sim.otherControllers(owner)[0], "wk-1") {
				t.Fatal("not confirmed")
			}
			tc.injectFault(sim, owner)
			if tc.hang {
				sim.run(10 * time.Second)
			}
			// The machines send heartbeats again while the delayed calls are still in flight.
			var inFlight []func()
			for _, machine := range sim.machines {
				for _, call := range machine.delayedCalls {
					inFlight = append(inFlight, func() { machine.HandleDirectCall(sim.clock.now(), call) })
				}
				machine.delayedCalls, machine.callsDelayed, machine.hung = nil, false, false
			}
			sim.run(10 * time.Second)
			sim.mu.Lock()
			for _, f := range inFlight {
				f()
			}
			sim.mu.Unlock()
			sim.run(20 * time.Second)
			// The claims of the cancelled job no longer count towards the team's limit.
			sim.submit(sim.leader(), arrayJob("wk-2", 4))
			sim.run(40 * time.Second)
			if running := sim.runningTasksOf("wk-2"); running != 4 {
				t.Fatalf("%d of 4 tasks run with the quota of the cancelled job\n%s", running, sim)
			}
		})
	}
}

// Jobs of a team at its limit are cancelled while their machines are unreachable, hang or lose
// responses, and the leader crashes. Guards against leaked quota: another job must get it within
// 90 s of the end of the faults. The simulation checks the limit throughout.
func TestQuotaOfACancelledJobIsFreedDespiteFaults(t *testing.T) {
	for _, fault := range []struct {
		name    string
		on, off func(machine *simMachine)
	}{
		{"hang", func(machine *simMachine) { machine.hung = true }, func(machine *simMachine) { machine.hung = false }},
		{"are unreachable", disconnectMachine, reconnectMachine},
		{"lose responses", loseResponses, deliverResponses},
	} {
		for _, duration := range []time.Duration{leaseDuration / 2, leaseDuration + 10*time.Second} {
			for _, when := range []string{"before", "after"} {
				t.Run(fmt.Sprintf("machines %s for %v, the leader crashes %s the cancellation", fault.name, duration, when), func(t *testing.T) {
					sim := newSimulation(t, 1, 8)
					sim.startGrace = leaseDuration // a delayed start may arrive until the lease expires
					sim.submit(sim.leader(), arrayJob("wk-1", 5))
					sim.run(8 * time.Second)
					sim.forEachMachine(fault.on)
					sim.submit(sim.leader(), arrayJob("wk-2", 3)) // claimed while no worker receives the start command
					sim.step()
					if when == "before" {
						sim.crash(sim.leader())
						sim.run(2 * time.Second)
					}
					for _, jobID := range []string{"wk-1", "wk-2"} {
						if !sim.cancelAt(sim.otherControllers(nil)[0], jobID) {
							t.Fatal("not confirmed")
						}
					}
					sim.submit(sim.otherControllers(nil)[0], arrayJob("wk-3", 8))
					if when == "after" {
						sim.crash(sim.leader())
					}
					sim.run(duration)
					sim.forEachMachine(fault.off)
					sim.run(90 * time.Second)
					sim.checkTasks("90 s after the faults", "wk-3", 8, 0)
				})
			}
		}
	}
}

// A cancellation races with the end of a job's last task. The one that is stored first decides the
// state of the job, and every controller answers with that state from then on.
func TestACancellationRacesWithTheEndOfTheLastTask(t *testing.T) {
	for _, tc := range []struct {
		name        string
		cancelFirst bool // the cancellation is stored before the end of the task
		loseAnswer  bool // the store's answer to the write of the end is lost
		want        string
	}{
		{"cancelled before the end is stored", true, false, wire.StateCancelled},
		{"cancelled after the end is stored", false, false, wire.StateDone},
		{"cancelled after the end is stored, and the store's answer is lost", false, true, wire.StateDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.submit(sim.leader(), arrayJob("wk-1", 1))
			sim.run(8 * time.Second)
			sim.mu.Lock()
			for _, machine := range sim.machines {
				for _, task := range machine.Tasks {
					task.State, task.ExitCause = wire.TaskExited, wire.ExitCauseDone
				}
			}
			sim.mu.Unlock()
			sim.forEachMachine(func(machine *simMachine) { machine.nextHeartbeat = sim.clock.now(); sim.advance(machine) })
			var writes []func()
			for _, controller := range sim.otherControllers(nil) {
				controller.Lock()
				pending := controller.scheduler.PlanPass()
				controller.Unlock()
				for _, write := range pending {
					writes = append(writes, func() { controller.scheduler.Commit(context.Background(), write) })
				}
			}
			if len(writes) == 0 {
				t.Fatal("no controller plans to store the end of the task")
			}
			storeEnd := func() {
				if tc.loseAnswer {
					sim.store.LoseResponses = 1
				}
				for _, f := range writes {
					f()
				}
			}
			if !tc.cancelFirst {
				storeEnd()
			}
			controller := sim.otherControllers(sim.leader())[0] // has not read the end yet
			sim.cancelledAt["wk-1"] = sim.clock.now()
			if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != tc.want {
				t.Fatalf("the user gets %d %+v, want %s", code, status, tc.want)
			}
			if tc.cancelFirst {
				storeEnd()
			}
			sim.checkStateEverywhere("at once", "wk-1", tc.want)
			if code, status, _ := sendRequest(sim.leader(), "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != tc.want {
				t.Errorf("a repeated submission gets %d %+v", code, status)
			}
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("later", "wk-1", tc.want)
			sim.fillMachines("wk-2")
		})
	}
}

// A claim that was planned before its job was cancelled must fail to commit. Guards against a
// controller that has not read the cancellation claiming a cancelled job.
func TestAStaleClaimFailsAfterACancellation(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	owner.receiveHeartbeat(env.heartbeat("h1", 1, owner.fencingToken()))
	env.sendPeerStatus(owner, other)
	env.submit(owner, arrayJob("wk-1", 1))
	owner.Lock()
	pending := owner.scheduler.PlanPass()
	owner.Unlock()
	if len(pending) != 1 {
		t.Fatalf("%d writes are planned for one claim", len(pending))
	}
	if code, _, _ := sendRequest(other, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK {
		t.Fatal(code)
	}
	owner.scheduler.Commit(context.Background(), pending[0])
	env.refreshAll()
	if owner.claimsOn("h1") != 0 {
		t.Fatal("a cancelled job was claimed")
	}
}
