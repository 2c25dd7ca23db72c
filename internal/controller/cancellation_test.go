package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/wire"
)

// A direct start is delayed, in the network or by a machine that hangs, until its
// job's cancellation was confirmed and the machine has sent a heartbeat since. Guards
// against a start that runs then, and against its claim counting for ever: the team is
// at its limit and other jobs wait for that quota.
func TestADelayedDirectStartIsVoidAfterCancellationAndFreesQuota(t *testing.T) {
	for _, tc := range []struct {
		name string
		hang bool
		turn func(sim *simulation, owner *Controller) // before the cancellation
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
			sim := newSimulation(t, 1, 4) // one machine's worth
			sim.runUntilBeforeHeartbeats(2 * time.Second)
			for _, machine := range sim.machines {
				machine.callsDelayed, machine.hung = !tc.hang, tc.hang
			}
			sim.submit(sim.leader(), arrayJob("wk-1", 4))
			sim.runPassesNow()
			var machine *simMachine
			for _, other := range sim.machines {
				if len(other.delayedCalls) > 0 {
					machine = other
				}
			}
			if machine == nil {
				t.Fatal("no direct start is delayed")
			}
			owner, _ := sim.ownerOf(machine.Machine)
			if !sim.cancelAt(sim.otherControllers(owner)[0], "wk-1") {
				t.Fatal("not confirmed")
			}
			tc.turn(sim, owner)
			if tc.hang {
				sim.run(10 * time.Second)
			}
			// The machines send heartbeats again, the delayed calls are still in flight.
			var held []func()
			for _, machine := range sim.machines {
				for _, call := range machine.delayedCalls {
					held = append(held, func() { machine.HandleDirectCall(sim.clock.now(), call) })
				}
				machine.delayedCalls, machine.callsDelayed, machine.hung = nil, false, false
			}
			sim.run(10 * time.Second)
			sim.mu.Lock()
			for _, f := range held {
				f()
			}
			sim.mu.Unlock()
			sim.run(20 * time.Second)
			// The team has its limit back.
			sim.submit(sim.leader(), arrayJob("wk-2", 4))
			sim.run(40 * time.Second)
			if k := sim.runningTasksOf("wk-2"); k != 4 {
				t.Fatalf("%d of 4 tasks run in the cancelled job's room\n%s", k, sim)
			}
		})
	}
}

// Every team is at its limit while a job is cancelled whose machines are partitioned,
// hang or lose responses, and the leader crashes. Guards against quota that leaks:
// other jobs get it within 90 s of the end of the faults, and the limit holds all the
// while.
func TestQuotaOfACancelledJobIsFreedDespiteFaults(t *testing.T) {
	for _, fault := range []struct {
		name    string
		on, off func(machine *simMachine)
	}{
		{"hang", func(machine *simMachine) { machine.hung = true }, func(machine *simMachine) { machine.hung = false }},
		{"are unreachable", unreachable, reachable},
		{"lose responses", loseResponses, deliverResponses},
	} {
		for _, duration := range []time.Duration{leaseDuration / 2, leaseDuration + 10*time.Second} {
			for _, when := range []string{"before", "after"} {
				t.Run(fmt.Sprintf("machines %s for %v, the leader crashes %s the cancellation", fault.name, duration, when), func(t *testing.T) {
					sim := newSimulation(t, 1, 8)
					sim.startGrace = leaseDuration // a delayed start comes as late as the lease allows
					sim.submit(sim.leader(), arrayJob("wk-1", 5))
					sim.run(8 * time.Second)
					sim.forEachMachine(fault.on)
					sim.submit(sim.leader(), arrayJob("wk-2", 3)) // claimed, and no worker learns of it
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

// A cancellation races with the end of a job's last task: before the end is stored it
// wins, after it the end does, and every controller answers the same from then on.
func TestACancellationRacesWithTheEndOfTheLastTask(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before bool // the cancellation is stored before the end
		lose   bool // the answer to the end's write is lost
		want   string
	}{
		{"cancelled before the end is stored", true, false, wire.StateCancelled},
		{"cancelled after it", false, false, wire.StateDone},
		{"cancelled after it, and the controller that stored it does not know", false, true, wire.StateDone},
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
				t.Fatal("the end is not to be stored")
			}
			end := func() {
				if tc.lose {
					sim.store.LoseAnswers = 1
				}
				for _, f := range writes {
					f()
				}
			}
			if !tc.before {
				end()
			}
			controller := sim.otherControllers(sim.leader())[0] // it has not read the end
			sim.cancelledAt["wk-1"] = sim.clock.now()
			if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != tc.want {
				t.Fatalf("the user gets %d %+v, want %s", code, status, tc.want)
			}
			if tc.before {
				end()
			}
			sim.checkStateEverywhere("at once", "wk-1", tc.want)
			if code, status, _ := sendRequest(sim.leader(), "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != tc.want {
				t.Errorf("a repeat gets %d %+v", code, status)
			}
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("later", "wk-1", tc.want)
			sim.fillMachines("wk-2")
		})
	}
}

// A claim that was computed before its job's cancellation was read must fail.
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
		t.Fatalf("%d writes for one claim", len(pending))
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
