package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// runUntilBeforeHeartbeats goes on until the next reports are still some time away.
func (sim *simulation) runUntilBeforeHeartbeats(d time.Duration) {
	for sim.machines[0].nextHeartbeat.Sub(sim.clock.now()) < d {
		sim.step()
	}
}

// runPassesNow lets every node decide and act twice, in no time.
func (sim *simulation) runPassesNow() {
	for range 2 {
		sim.exchangePeerStatus()
		for _, controller := range sim.controllers {
			sim.runPass(controller)
			for len(controller.Workers.CallSlots) > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		sim.refreshAll()
	}
}

// fillMachines lets a job fill all machines, and waits until it runs.
func (sim *simulation) fillMachines(jobID string) {
	sim.t.Helper()
	sim.submit(sim.leader(), arrayJob(jobID, 4*len(sim.machines)))
	for range 20 {
		if sim.step(); sim.runningTasksOf(jobID) == 4*len(sim.machines) {
			return
		}
	}
	sim.t.Fatalf("%d of %d tasks run\n%s", sim.runningTasksOf(jobID), 4*len(sim.machines), sim)
}

// The gap: the leader alone loses the state service, another node confirms a
// cancellation, then everybody has lost it for longer than a cancellation may
// take, while the workers go on reporting. The tasks are gone in time all the
// same, and each lease ends when its node's last read says, not long before.
func TestCancelledTasksStopInTimeThroughARollingStoreOutage(t *testing.T) {
	const outage = cancelBound + 20*time.Second
	type gap struct {
		x                        *simulation
		leader, confirming, rest *Controller
	}
	variants := []struct {
		name string
		// What happens beside it, seconds after the first loss.
		at map[int]func(g gap)
		// Whether leases may end later or earlier than the rule below says.
		loose bool
	}{
		{name: "nothing else"},
		{name: "the store is back for a moment at the leader", at: map[int]func(gap){
			8: func(g gap) { g.x.links[g.leader.Self.Label].setRejecting(false) },
			9: func(g gap) { g.x.links[g.leader.Self.Label].setRejecting(true) }}},
		{name: "the store is back for a moment at the third node", at: map[int]func(gap){
			20: func(g gap) { g.x.links[g.rest.Self.Label].setRejecting(false) },
			21: func(g gap) { g.x.links[g.rest.Self.Label].setRejecting(true) }}},
		{name: "a worker changes nodes", loose: true, at: map[int]func(gap){
			4:  func(g gap) { g.x.machineOf(g.leader).unreachable[g.leader.Self.Label] = true },
			14: func(g gap) { g.x.machineOf(g.leader).unreachable[g.leader.Self.Label] = false }}},
		{name: "reports waited in the network and reach every node", at: map[int]func(gap){
			6:  func(g gap) { g.x.resendHeartbeats() },
			24: func(g gap) { g.x.resendHeartbeats() },
			40: func(g gap) { g.x.resendHeartbeats() }}},
		{name: "machines hang and resume within their lease", loose: true, at: map[int]func(gap){
			3: func(g gap) {
				for _, machine := range g.x.machines {
					machine.hung = true
				}
			},
			27: func(g gap) {
				for _, machine := range g.x.machines {
					machine.hung = false
				}
			}}},
		{name: "the leader's last read took 6 s and showed nothing of it", loose: true, at: map[int]func(gap){}},
	}
	// Who loses the state service first, second and third; the confirming node
	// confirms right before it does.
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for _, v := range variants {
			t.Run(fmt.Sprintf("%v %s", order, v.name), func(t *testing.T) {
				sim := newSimulation(t, 1, 1000)
				sim.fillMachines("wk-1")
				leader := sim.leader()
				g := gap{x: sim, leader: leader, confirming: sim.otherControllers(leader)[0], rest: sim.otherControllers(leader)[1]}
				nodes := []*Controller{g.leader, g.confirming, g.rest}
				if v.name[:10] == "the leader" {
					sim.links[leader.Self.Label].afterWatch = func() {
						if !sim.cancelAt(g.confirming, "wk-1") {
							t.Error("not confirmed")
						}
						sim.links[leader.Self.Label].setRejecting(true)
						sim.clock.add(6 * time.Second)
					}
					sim.run(time.Second)
				}
				for s := range int(outage / time.Second) {
					if s < 3 {
						controller := nodes[order[s]]
						if controller == g.confirming && !sim.cancelAt(controller, "wk-1") {
							t.Fatal("the cancellation is not confirmed")
						}
						sim.links[controller.Self.Label].setRejecting(true)
					}
					if f := v.at[s]; f != nil {
						f(g)
					}
					sim.step()
				}
				// Nothing is left, whoever its node was, and every lease has ended
				// when the last read of its node allowed.
				if k := sim.runningTasksOf("wk-1"); k != 0 {
					t.Fatalf("%d tasks run after the outage\n%s", k, sim)
				}
				for _, machine := range sim.machines {
					owner, _ := sim.ownerOf(machine.Host)
					owner.Lock()
					knows := owner.Table.Jobs["wk-1"].Phase == jobs.Cancelled
					owner.Unlock()
					if knows {
						continue // it kills them, and the others attest that there is nothing else
					}
					if len(machine.endedIncarnations) == 0 {
						t.Errorf("the lease of %s has not ended", machine.Host)
						continue
					}
					// Not later than if all had attested up to the confirmation, not
					// long before what its own node's last read allows.
					bound := owner.Settings.RenewalBound() + leaseDuration
					if over := machine.endedIncarnations[0].at.Sub(sim.cancelledAt["wk-1"]); over > bound+2*time.Second {
						t.Errorf("the lease of %s ended %v after the confirmation, its bound is %v", machine.Host, over, bound)
					}
					if over := machine.endedIncarnations[0].at.Sub(owner.Syncer.LastReadAt()); !v.loose && over < bound-5*time.Second {
						t.Errorf("the lease of %s ended %v after its node's last read, its bound is %v", machine.Host, over, bound)
					}
				}
				// It is back: the job stays cancelled, its claims go, and others run.
				for _, controller := range nodes {
					sim.links[controller.Self.Label].setRejecting(false)
				}
				sim.run(10 * time.Second)
				for _, controller := range nodes {
					if code, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != 200 || status.State != wire.StateCancelled {
						t.Errorf("%s says %d %+v", controller.Self.Label, code, status)
					}
				}
				sim.fillMachines("wk-2")
			})
		}
	}
}

// The state service is out for all for minutes. While every node attests that it
// knows of no other cancellation, what runs goes on; where one doesn't, the
// leases end as ever, and what was confirmed is gone in time.
func TestLeasesOutlastAStoreOutageOnlyWhileAllControllersAttest(t *testing.T) {
	const outage = 3 * time.Minute
	for _, c := range []struct {
		name   string
		before func(sim *simulation)     // before the outage
		at     map[int]func(*simulation) // seconds into it
		starts int                       // of each task, in the end; 0: the job is cancelled
	}{
		{"all attest", nil, nil, 1},
		{"with a cancellation that all have read", func(sim *simulation) {
			sim.submit(sim.leader(), arrayJob("wk-9", 1))
			sim.cancelAt(sim.leader(), "wk-9")
			sim.run(4 * time.Second)
		}, nil, 1},
		{"one is silent", nil, map[int]func(*simulation){0: func(sim *simulation) { sim.isolated["b"] = true }}, 2},
		{"one falls silent later", nil, map[int]func(*simulation){60: func(sim *simulation) { sim.isolated["c"] = true }}, 2},
		{"one was never heard", func(sim *simulation) {
			sim.crash(sim.controllers["b"])
			sim.restartController("b")
			sim.isolated["b"] = true
			sim.run(8 * time.Second)
		}, nil, 2},
		{"one is of an older version", nil, map[int]func(*simulation){0: func(sim *simulation) {
			for _, controller := range sim.otherControllers(sim.controllers["b"]) {
				controller.Peers.Siblings["b"].Attestation = membership.Attestation{} // it says nothing of cancellations
			}
			sim.isolated["b"] = true
		}}, 2},
		{"one is back for an instant and confirms a cancellation", nil, map[int]func(*simulation){40: func(sim *simulation) {
			controller := sim.controllers["b"]
			sim.links["b"].setRejecting(false)
			if err := controller.Syncer.Refresh(context.Background()); err != nil || !sim.cancelAt(controller, "wk-1") {
				sim.t.Error("not confirmed")
			}
			sim.links["b"].setRejecting(true)
		}}, 0},
		{"one is back for an instant, confirms a cancellation and ends", nil, map[int]func(*simulation){40: func(sim *simulation) {
			controller := sim.controllers["b"]
			sim.links["b"].setRejecting(false)
			if err := controller.Syncer.Refresh(context.Background()); err != nil || !sim.cancelAt(controller, "wk-1") {
				sim.t.Error("not confirmed")
			}
			delete(sim.controllers, "b")
		}}, 0},
		{"one is back for an instant, confirms a cancellation, ends and returns", nil, map[int]func(*simulation){
			40: func(sim *simulation) {
				controller := sim.controllers["b"]
				sim.links["b"].setRejecting(false)
				if err := controller.Syncer.Refresh(context.Background()); err != nil || !sim.cancelAt(controller, "wk-1") {
					sim.t.Error("not confirmed")
				}
				sim.restartController("b") // it reads the store, has a session, and then loses it like all others
				sim.links["b"].setRejecting(true)
			}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.fillMachines("wk-1")
			sim.run(4 * time.Second)
			if c.before != nil {
				c.before(sim)
			}
			for _, link := range sim.links {
				link.setRejecting(true)
			}
			for s := range int(outage / time.Second) {
				if f := c.at[s]; f != nil {
					f(sim)
				}
				sim.step()
			}
			if c.starts == 1 {
				sim.checkTasks("in the outage", "wk-1", 12, 1)
				if _, _, page := sendRequest(sim.leader(), "GET", "/status", nil); !strings.Contains(string(page.Response.Body()), "cancellations known until 0.0 s ago") {
					t.Errorf("operators are not told:\n%s", page.Response.Body())
				}
			} else if k := sim.runningTasksOf("wk-1"); c.starts == 0 && k != 0 {
				t.Errorf("%d tasks of a cancelled job run\n%s", k, sim)
			}
			for _, link := range sim.links {
				link.setRejecting(false)
			}
			clear(sim.isolated)
			sim.run(30 * time.Second)
			sim.checkTasks("after it", "wk-1", 12*min(c.starts, 1), c.starts)
		})
	}
}

// setRejecting refuses a node, or serves it again.
func (link *storeLink) setRejecting(refuse bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.rejecting = refuse
}

// resendHeartbeats lets the last report of every machine arrive at every node once more.
func (sim *simulation) resendHeartbeats() {
	for _, machine := range sim.machines {
		for _, controller := range sim.controllers {
			heartbeat := machine.lastHeartbeat
			controller.receiveHeartbeat(&heartbeat)
		}
	}
}

// A direct start is held, in the network or by a machine that hangs, until its
// job's cancellation was confirmed and the machine has reported since. It must
// not run then, and its claim must not count for ever: the team is at its limit
// and others wait for that room.
func TestADelayedDirectStartIsVoidAfterCancellationAndFreesQuota(t *testing.T) {
	for _, c := range []struct {
		name string
		hang bool
		turn func(sim *simulation, owner *Controller) // before the cancellation
	}{
		{"held in the network", false, func(*simulation, *Controller) {}},
		{"held by a machine that hangs", true, func(*simulation, *Controller) {}},
		{"of the same node before another node's restart", false, func(sim *simulation, owner *Controller) {
			sim.restartController(sim.otherControllers(owner)[0].Self.Label)
		}},
		{"of a former process of the node", false, func(sim *simulation, owner *Controller) { sim.restartController(owner.Self.Label) }},
		{"of a former owner", false, func(sim *simulation, owner *Controller) {
			sim.expireSession(owner)
			delete(sim.controllers, owner.Self.Label)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4) // one machine's worth
			sim.runUntilBeforeHeartbeats(2 * time.Second)
			for _, machine := range sim.machines {
				machine.callsDelayed, machine.hung = !c.hang, c.hang
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
				t.Fatal("no direct start is held")
			}
			owner, _ := sim.ownerOf(machine.Host)
			if !sim.cancelAt(sim.otherControllers(owner)[0], "wk-1") {
				t.Fatal("not confirmed")
			}
			c.turn(sim, owner)
			if c.hang {
				sim.run(10 * time.Second)
			}
			// The machines report again, the held calls are still under way.
			var held []func()
			for _, machine := range sim.machines {
				for _, call := range machine.delayedCalls {
					held = append(held, func() { machine.Take(sim.clock.now(), call) })
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

// tasks checks how often each task of a job has begun, and how many run.
func (sim *simulation) checkTasks(what, jobID string, tasks, starts int) {
	sim.t.Helper()
	if k := sim.runningTasksOf(jobID); k != tasks {
		sim.t.Errorf("%s: %d tasks of %s run, want %d\n%s", what, k, jobID, tasks, sim)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for task, k := range sim.startCount {
		if r, _, _ := jobs.ParseTaskName(task); r == jobID && starts > 0 && k != starts {
			sim.t.Errorf("%s: %s has begun %d times, want %d", what, task, k, starts)
		}
	}
}

// checkStateEverywhere asks every node about a job and wants the same phase of all.
func (sim *simulation) checkStateEverywhere(what, jobID, phase string) {
	sim.t.Helper()
	for _, controller := range sim.otherControllers(nil) {
		if code, status, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code != 200 || status.State != phase {
			sim.t.Errorf("%s: %s says %d %q, want %q", what, controller.Self.Label, code, status.State, phase)
		}
	}
}

// crash ends the leader's process.
func (sim *simulation) crash(controller *Controller) {
	sim.expireSession(controller)
	delete(sim.controllers, controller.Self.Label)
}

// forEachMachine does something to every machine.
func (sim *simulation) forEachMachine(f func(machine *simMachine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		f(machine)
	}
}

// Meetings of two troubles in which rules broke elsewhere. Each starts with a
// job on every machine; the trial watches the rules that hold at any moment.
func TestCombinedFaults(t *testing.T) {
	const long = leaseDuration + 15*time.Second
	for _, c := range []struct {
		name string
		do   func(sim *simulation)
	}{
		{"a zone with a controller is cut off for longer than a lease", func(sim *simulation) {
			controller := sim.otherControllers(sim.leader())[0]
			inside := sim.machineOf(controller)
			sim.links[controller.Self.Label].setRejecting(true)
			sim.forEachMachine(func(machine *simMachine) {
				for _, label := range []string{"a", "b", "c"} {
					machine.unreachable[label] = (machine == inside) != (label == controller.Self.Label)
				}
				machine.callsDelayed = machine == inside
			})
			sim.run(4 * time.Second)
			sim.expireSession(controller)
			sim.run(cancelBound)
			sim.links[controller.Self.Label].setRejecting(false)
			sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after the cut", "wk-1", 12, 0)
		}},
		{"the leader ends, machines can't be reached for less than a lease", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(leaseDuration - 8*time.Second)
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines don't hear the new one's answers for less than a lease", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = true })
			sim.crash(sim.leader())
			sim.run(leaseDuration - 8*time.Second)
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines can't be reached for longer", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(long)
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"the leader ends, machines don't hear for longer", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = true })
			sim.crash(sim.leader())
			sim.run(long)
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"all controllers are away for longer than a lease", func(sim *simulation) {
			sim.submit(sim.leader(), arrayJob("wk-2", 1))
			if !sim.cancelAt(sim.leader(), "wk-2") {
				sim.t.Fatal("not confirmed")
			}
			for _, controller := range sim.otherControllers(nil) {
				sim.crash(controller)
			}
			sim.run(long)
			for _, label := range []string{"a", "b", "c"} {
				sim.restartController(label)
			}
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
			sim.checkStateEverywhere("after it", "wk-1", wire.StateRunning)
			sim.checkStateEverywhere("after it", "wk-2", wire.StateCancelled)
		}},
		{"leaders change ten times in two minutes, also inside an outage", func(sim *simulation) {
			token := sim.leader().fencingToken()
			for i := range 10 {
				if i == 5 {
					for _, link := range sim.links {
						link.setRejecting(true)
					}
					sim.run(10 * time.Second)
					for _, link := range sim.links {
						link.setRejecting(false)
					}
				}
				sim.expireSession(sim.leader())
				sim.run(12 * time.Second)
				if now := sim.leader().fencingToken(); now <= token {
					sim.t.Fatalf("token %d after %d", now, token)
				} else {
					token = now
				}
			}
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"controllers hand over and back, all end, one returns within a second", func(sim *simulation) {
			for range 2 {
				sim.expireSession(sim.leader())
				sim.run(2 * time.Second)
			}
			for _, controller := range sim.otherControllers(nil) {
				sim.crash(controller)
			}
			sim.restartController("b")
			sim.run(15 * time.Second)
			sim.checkTasks("with one back", "wk-1", 12, 1)
			sim.restartController("a")
			sim.restartController("c")
			sim.run(15 * time.Second)
			sim.checkTasks("with all back", "wk-1", 12, 1)
		}},
		{"a leader without state service and siblings goes on for its workers, jobs are cancelled through the new one", func(sim *simulation) {
			old := sim.leader()
			inside := sim.machineOf(old)
			sim.links[old.Self.Label].setRejecting(true)
			sim.forEachMachine(func(machine *simMachine) {
				if machine == inside {
					machine.callsDelayed = true
					for _, controller := range sim.otherControllers(old) {
						machine.unreachable[controller.Self.Label] = true
					}
				}
			})
			sim.run(4 * time.Second)
			sim.expireSession(old)
			sim.run(3 * time.Second)
			if !sim.cancelAt(sim.otherControllers(old)[0], "wk-1") {
				sim.t.Fatal("not confirmed")
			}
			if code, status, _ := sendRequest(old, "GET", "/work/wk-1", nil); code == 200 {
				sim.t.Errorf("the old leader says %+v", status)
			}
			sim.run(cancelBound + 5*time.Second)
			sim.checkTasks("in time", "wk-1", 0, 1)
			sim.links[old.Self.Label].setRejecting(false)
			sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("after it", "wk-1", wire.StateCancelled)
			sim.fillMachines("wk-2")
		}},
		{"jobs are cancelled in the seconds in which a controller's work changes hands", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			for i := range 6 {
				jobID := fmt.Sprintf("wk-%d", 10+i)
				sim.fillMachines(jobID)
				controller := sim.otherControllers(sim.leader())[0]
				if i%3 == 2 {
					sim.restartController(controller.Self.Label) // back within a second
				} else {
					sim.expireSession(controller)
				}
				sim.run(time.Duration(i/2) * time.Second)
				if !sim.cancelAt(sim.leader(), jobID) {
					sim.t.Fatal("not confirmed")
				}
				sim.run(10 * time.Second)
				sim.checkTasks("10 s later", jobID, 0, 1)
			}
		}},
		{"a report is held back until a new leader has acted", func(sim *simulation) {
			var held []wire.Heartbeat
			sim.forEachMachine(func(machine *simMachine) { held = append(held, machine.lastHeartbeat) })
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(5 * time.Second)
			for _, controller := range sim.controllers {
				for _, heartbeat := range held {
					controller.receiveHeartbeat(&heartbeat)
				}
			}
			sim.submit(sim.leader(), arrayJob("wk-2", 1))
			sim.run(leaseDuration)
			for _, controller := range sim.controllers {
				for _, heartbeat := range held {
					controller.receiveHeartbeat(&heartbeat)
				}
				controller.Lock()
				for machineName, w := range controller.Workers.ByMachine {
					if w.State == worker.TokenAcknowledged {
						sim.t.Errorf("%s is %s by an old report", machineName, w.State)
					}
				}
				controller.Unlock()
			}
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"machines reach no controller while direct calls reach them", func(sim *simulation) {
			machine := sim.machines[0]
			machine.outboundCut = true
			sim.run(leaseDuration - 4*time.Second)
			sim.checkTasks("within the lease", "wk-1", 12, 1)
			if !sim.cancelAt(sim.leader(), "wk-1") {
				sim.t.Fatal("not confirmed")
			}
			sim.run(2 * time.Second)
			sim.checkTasks("the kill comes directly", "wk-1", 0, 1)
			if controller, _ := sim.ownerOf(machine.Host); controller.MachineIndex.RefreshMachines(sim.clock.now()).Machine(machine.Host).Schedulable {
				sim.t.Error("it has just been heard, and takes tasks, which would end with its lease")
			}
			machine.outboundCut = false
			sim.run(10 * time.Second)
			sim.fillMachines("wk-2")
		}},
		{"new machines get work at once while writes lag, and the leader ends", func(sim *simulation) {
			leader := sim.leader()
			sim.addBatchMachine("h90")
			sim.addBatchMachine("h91")
			sim.submit(leader, arrayJob("wk-2", 8))
			for _, link := range sim.links {
				link.delayNext = 2
			}
			sim.run(2 * time.Second)
			sim.crash(leader)
			sim.run(2 * time.Second)
			for _, link := range sim.links {
				link.applyDelayed()
				link.delayNext = 0
			}
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 1)
			sim.checkTasks("after it", "wk-2", 8, 1)
		}},
		{"there is more work than room, urgent and not, over slow links", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.forEachMachine(func(machine *simMachine) {
				machine.ImageTime = 15 * time.Second
				machine.callsDelayed = machine == sim.machines[0] // its direct calls come late
			})
			late := 0
			goOn := func(seconds int) {
				for range seconds {
					if late++; late%10 == 0 {
						sim.mu.Lock()
						machine := sim.machines[0]
						held := machine.delayedCalls
						machine.delayedCalls = nil
						for _, call := range held {
							machine.Take(sim.clock.now(), call)
						}
						sim.mu.Unlock()
					}
					sim.step()
				}
			}
			submit := func(jobID, priority string, d time.Duration) {
				spec := arrayJob(jobID, 6)
				spec.Priority = priority
				sim.taskDuration[jobID] = d
				sim.submit(sim.leader(), spec)
			}
			for i := range 6 {
				submit(fmt.Sprintf("wk-%d", 10+i), wire.PriorityNormal, 100*time.Second)
			}
			goOn(25)
			for i := range 2 {
				submit(fmt.Sprintf("wk-%d", 20+i), wire.PriorityUrgent, 20*time.Second)
			}
			goOn(80) // nothing of the others is done by then
			for _, jobID := range []string{"wk-20", "wk-21"} {
				sim.checkStateEverywhere("urgent work goes first", jobID, wire.StateDone)
			}
			goOn(600)
			for i := range 6 {
				sim.checkStateEverywhere("the rest is not forgotten", fmt.Sprintf("wk-%d", 10+i), wire.StateDone)
			}
		}},
		{"jobs of two or three tasks end far apart across a change of leader", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.taskDuration["wk-2"] = 12 * time.Second
			sim.submit(sim.leader(), arrayJob("wk-2", 3))
			sim.run(6 * time.Second)
			sim.mu.Lock()
			last := 0
			for _, machine := range sim.machines {
				for _, task := range machine.Tasks {
					if task.JobID == "wk-2" && last == 0 {
						task.Ends = sim.clock.now().Add(40 * time.Second)
						last++
					}
				}
			}
			sim.mu.Unlock()
			sim.run(10 * time.Second)
			sim.crash(sim.leader())
			sim.run(20 * time.Second)
			sim.checkStateEverywhere("with one task left", "wk-2", wire.StateRunning)
			sim.run(20 * time.Second)
			sim.checkStateEverywhere("after it", "wk-2", wire.StateDone)
			sim.checkTasks("after it", "wk-2", 0, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.fillMachines("wk-1")
			c.do(sim)
		})
	}
}

// Every team is at its limit while a job is cancelled whose machines are cut
// off, hang or don't hear, and the leader changes: others get the room within
// 90 s of the end of the trouble, and the limit holds all the while.
func TestQuotaOfACancelledJobIsFreedDespiteFaults(t *testing.T) {
	for _, trouble := range []struct {
		name    string
		on, off func(machine *simMachine)
	}{
		{"hang", func(machine *simMachine) { machine.hung = true }, func(machine *simMachine) { machine.hung = false }},
		{"are cut off", func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true }, func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false }},
		{"don't hear", func(machine *simMachine) { machine.inboundCut = true }, func(machine *simMachine) { machine.inboundCut = false }},
	} {
		for _, d := range []time.Duration{leaseDuration / 2, leaseDuration + 10*time.Second} {
			for _, when := range []string{"before", "after"} {
				t.Run(fmt.Sprintf("machines %s for %v, the leader ends %s the cancellation", trouble.name, d, when), func(t *testing.T) {
					sim := newSimulation(t, 1, 8)
					sim.startGrace = leaseDuration // a start that is held comes as late as the lease allows
					sim.submit(sim.leader(), arrayJob("wk-1", 5))
					sim.run(8 * time.Second)
					sim.forEachMachine(trouble.on)
					sim.submit(sim.leader(), arrayJob("wk-2", 3)) // claimed, and never heard of
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
					sim.run(d)
					sim.forEachMachine(trouble.off)
					sim.run(90 * time.Second)
					sim.checkTasks("90 s after the trouble", "wk-3", 8, 0)
				})
			}
		}
	}
}

// Users ask at every node in the same instant in which another has told one
// that a job is accepted, done or cancelled, and repeat what they sent. Some
// nodes have not heard of it yet, and some answers of the state service are
// lost. Nobody answers anything older.
func TestEveryControllerAnswersLinearizably(t *testing.T) {
	type told struct {
		code  int
		phase string
	}
	done := func(sim *simulation) {
		sim.taskDuration["wk-1"] = time.Second
		sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
		sim.run(12 * time.Second)
	}
	for _, lost := range []bool{false, true} {
		for _, c := range []struct {
			name  string
			do    func(sim *simulation) (method, path string, body any)
			first []told // what the first user may be told
			then  string // what all others are told
		}{
			{"accepted", func(sim *simulation) (string, string, any) { return "POST", "/work", arrayJob("wk-1", 1) },
				[]told{{201, wire.StateQueued}, {200, wire.StateQueued}}, wire.StateQueued},
			{"cancelled", func(sim *simulation) (string, string, any) {
				sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
				return "POST", "/work/wk-1/cancel", nil
			}, []told{{200, wire.StateCancelled}}, wire.StateCancelled},
			{"cancelled when it was done", func(sim *simulation) (string, string, any) { done(sim); return "POST", "/work/wk-1/cancel", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
			{"done", func(sim *simulation) (string, string, any) { done(sim); return "GET", "/work/wk-1", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
		} {
			t.Run(fmt.Sprintf("%s, an answer lost: %v", c.name, lost), func(t *testing.T) {
				sim := newSimulation(t, 1, 1000)
				method, path, body := c.do(sim)
				if lost && method == "POST" && c.then != wire.StateDone {
					sim.store.Lose = 1
				}
				code, status, _ := sendRequest(sim.controllers["b"], method, path, body)
				ok := false
				for _, f := range c.first {
					ok = ok || f == told{code, status.State}
				}
				if !ok {
					t.Fatalf("the first user is told %d %+v", code, status)
				}
				for _, label := range []string{"c", "a", "b"} {
					controller := sim.controllers[label]
					if code, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != 200 || status.State != c.then {
						t.Errorf("%s says %d %+v", label, code, status)
					}
					if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != 200 && code != 201 || status.State != c.then {
						t.Errorf("%s answers a repeat by %d %+v", label, code, status)
					}
					if c.then != wire.StateQueued {
						if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != c.then {
							t.Errorf("%s answers a cancellation by %d %+v", label, code, status)
						}
					}
					if code, _, _ := sendRequest(controller, "POST", "/work", map[string]any{"ref": "wk-1"}); code != 200 {
						t.Errorf("%s answers a repeat that lacks fields by %d", label, code)
					}
				}
			})
		}
	}
}

// A cancellation, a question or a repeat meets the end of a job's last task:
// before the end is stored it counts, after it doesn't, and every node says the
// same from then on.
func TestACancellationRacesWithTheEndOfTheLastTask(t *testing.T) {
	for _, c := range []struct {
		name   string
		before bool // the cancellation is stored before the end
		lose   bool // the answer to the end's write is lost
		want   string
	}{
		{"cancelled before the end is stored", true, false, wire.StateCancelled},
		{"cancelled after it", false, false, wire.StateDone},
		{"cancelled after it, and the node that stored it does not know", false, true, wire.StateDone},
	} {
		t.Run(c.name, func(t *testing.T) {
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
				pending := controller.scheduler.Schedule()
				controller.Unlock()
				for _, t := range pending {
					writes = append(writes, func() { controller.scheduler.Commit(context.Background(), t) })
				}
			}
			if len(writes) == 0 {
				t.Fatal("the end is not to be stored")
			}
			end := func() {
				if c.lose {
					sim.store.Lose = 1
				}
				for _, f := range writes {
					f()
				}
			}
			if !c.before {
				end()
			}
			controller := sim.otherControllers(sim.leader())[0] // it has not heard of the end
			sim.cancelledAt["wk-1"] = sim.clock.now()
			if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != c.want {
				t.Fatalf("the user is told %d %+v, want %s", code, status, c.want)
			}
			if c.before {
				end()
			}
			sim.checkStateEverywhere("at once", "wk-1", c.want)
			if code, status, _ := sendRequest(sim.leader(), "POST", "/work", arrayJob("wk-1", 1)); code != 200 || status.State != c.want {
				t.Errorf("a repeat is told %d %+v", code, status)
			}
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("later", "wk-1", c.want)
			sim.fillMachines("wk-2")
		})
	}
}

// A transaction without an answer is carried out late, after newer ones of the
// same node and of others, in every kind of write.
func TestWritesOfUnknownOutcomeThatApplyLate(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(sim *simulation, hold func(controller *Controller), carryOut func())
	}{
		{"an acceptance, the user goes elsewhere and cancels", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			if code, _, _ := sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1)); code != 503 {
				sim.t.Fatalf("answered %d", code)
			}
			sim.submit(sim.controllers["b"], arrayJob("wk-2", 1))
			if !sim.cancelAt(sim.controllers["c"], "wk-2") {
				sim.t.Fatal("not confirmed")
			}
			carryOut()
			sim.checkStateEverywhere("at once", "wk-2", wire.StateCancelled)
			sim.step()
			sim.checkStateEverywhere("later", "wk-2", wire.StateCancelled)
		}},
		{"an acceptance, and nobody asks before", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1))
			carryOut()
			if code, _, _ := sendRequest(sim.controllers["b"], "POST", "/work", arrayJob("wk-2", 1)); code != 200 && code != 201 {
				sim.t.Errorf("the repeat gets %d", code)
			}
			sim.cancelAt(sim.controllers["c"], "wk-2")
		}},
		{"a cancellation, the job ends before", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.taskDuration["wk-2"] = 2 * time.Second
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 1))
			hold(sim.controllers["a"])
			sim.links["a"].rejectAfterDelayed = true
			if sim.cancelAt(sim.controllers["a"], "wk-2") {
				sim.t.Fatal("confirmed without an answer")
			}
			sim.links["a"].setRejecting(false)
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("before", "wk-2", wire.StateDone)
			carryOut()
			sim.step() // final states are answered from the cache
			sim.checkStateEverywhere("after", "wk-2", wire.StateDone)
		}},
		{"a cancellation, and nothing else", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			sim.links["a"].rejectAfterDelayed = true
			if sim.cancelAt(sim.controllers["a"], "wk-1") {
				sim.t.Fatal("confirmed without an answer")
			}
			sim.links["a"].setRejecting(false)
			sim.run(5 * time.Second)
			carryOut()
			sim.cancelledAt["wk-1"] = sim.clock.now()
			sim.run(5 * time.Second)
			sim.checkStateEverywhere("after", "wk-1", wire.StateCancelled)
			sim.checkTasks("after", "wk-1", 0, 1)
		}},
		{"claims and shares, at every node", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.run(6 * time.Second)
			carryOut()
			sim.run(10 * time.Second)
			sim.checkTasks("after", "wk-2", 12, 1)
		}},
		{"releases, at every node", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.run(6 * time.Second)
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
			sim.run(6 * time.Second)
			carryOut()
			sim.run(10 * time.Second)
			sim.checkTasks("after", "wk-2", 12, 1)
		}},
		{"sessions and memberships", func(sim *simulation, hold func(*Controller), carryOut func()) {
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.expireSession(sim.leader())
			sim.run(6 * time.Second)
			carryOut()
			sim.run(6 * time.Second)
			sim.expireSession(sim.leader())
			sim.run(6 * time.Second)
			sim.checkTasks("after", "wk-1", 12, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 12)
			sim.fillMachines("wk-1")
			c.do(sim, func(controller *Controller) { sim.links[controller.Self.Label].delayNext = 1 }, func() {
				for _, link := range sim.links {
					link.applyDelayed()
				}
			})
			sim.run(15 * time.Second)
			controller := sim.leader()
			controller.Lock()
			used := controller.Table.ResourcesByTeam["x"].GPUs
			controller.Unlock()
			running := 0
			for _, jobID := range []string{"wk-1", "wk-2"} {
				running += sim.runningTasksOf(jobID)
			}
			if float64(running) != used {
				t.Errorf("%d tasks run, %v are claimed", running, used)
			}
		})
	}
}

// One-task jobs come four a second, a quarter of them is cancelled: none is left
// behind, none waits for long, and each costs a handful of changes.
func TestAStreamOfSingleTaskJobsCostsFewWrites(t *testing.T) {
	sim := newSimulation(t, 3, 1000)
	for _, machine := range sim.machines {
		machine.ImageTime = time.Second
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
