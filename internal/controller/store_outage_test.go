package controller

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// rollingOutage is a store outage that begins at one controller after the other.
type rollingOutage struct {
	sim *simulation
	// leader is the leader at the beginning; confirming confirms a cancellation right before it
	// loses the store itself.
	leader, confirming, third *Controller
}

// rollingOutageCase describes what else happens during a rolling outage.
type rollingOutageCase struct {
	name string
	// events are called by the number of seconds since the first controller lost the store.
	events map[int]func(outage rollingOutage)
	// earlyExpiry allows leases to expire well before the owner's last read requires.
	earlyExpiry bool
	// slowRead makes the leader's last read take 6 s and miss the cancellation.
	slowRead bool
}

var rollingOutageCases = []rollingOutageCase{
	{name: "nothing else"},
	{name: "the leader reaches the store again for a second", events: map[int]func(rollingOutage){
		8: func(outage rollingOutage) { outage.sim.links[outage.leader.Self.Label].setRejecting(false) },
		9: func(outage rollingOutage) { outage.sim.links[outage.leader.Self.Label].setRejecting(true) }}},
	{name: "the third controller reaches the store again for a second", events: map[int]func(rollingOutage){
		20: func(outage rollingOutage) { outage.sim.links[outage.third.Self.Label].setRejecting(false) },
		21: func(outage rollingOutage) { outage.sim.links[outage.third.Self.Label].setRejecting(true) }}},
	{name: "a worker switches to another controller and back", earlyExpiry: true, events: map[int]func(rollingOutage){
		4: func(outage rollingOutage) {
			outage.sim.machineOf(outage.leader).unreachable[outage.leader.Self.Label] = true
		},
		14: func(outage rollingOutage) {
			outage.sim.machineOf(outage.leader).unreachable[outage.leader.Self.Label] = false
		}}},
	{name: "delayed copies of heartbeats reach every controller", events: map[int]func(rollingOutage){
		6:  func(outage rollingOutage) { outage.sim.resendHeartbeats() },
		24: func(outage rollingOutage) { outage.sim.resendHeartbeats() },
		40: func(outage rollingOutage) { outage.sim.resendHeartbeats() }}},
	{name: "machines hang and resume within their lease", earlyExpiry: true, events: map[int]func(rollingOutage){
		3:  func(outage rollingOutage) { outage.setHung(true) },
		27: func(outage rollingOutage) { outage.setHung(false) }}},
	{name: "the leader's last read takes 6 s and misses the cancellation", earlyExpiry: true, slowRead: true},
}

// TestCancelledTasksStopInTimeDuringARollingStoreOutage makes the controllers lose the store one
// after the other, in every order, for longer than the cancellation bound, while workers go on
// sending heartbeats. A cancellation is confirmed when some controllers can no longer read it, and
// these must not renew leases for too long: the tasks must stop in time, and each lease must expire
// when the last read of its controller requires, not long before.
func TestCancelledTasksStopInTimeDuringARollingStoreOutage(t *testing.T) {
	// The order in which the controllers lose the store: 0 is the leader, 1 the confirming one,
	// 2 the third.
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for _, tc := range rollingOutageCases {
			t.Run(fmt.Sprintf("%v %s", order, tc.name), func(t *testing.T) {
				sim := newSimulation(t, 1, 1000)
				sim.fillMachines("wk-1")
				leader := sim.leader()
				outage := rollingOutage{sim: sim, leader: leader, confirming: sim.otherControllers(leader)[0], third: sim.otherControllers(leader)[1]}
				if tc.slowRead {
					outage.missCancellationInSlowRead(t)
				}
				outage.run(t, order, tc)
				outage.checkLeasesExpired(t, tc)
				outage.checkAfterwards(t)
			})
		}
	}
}

// controllers returns the three controllers, indexed as in the orders in which they lose the store.
func (outage rollingOutage) controllers() []*Controller {
	return []*Controller{outage.leader, outage.confirming, outage.third}
}

// setHung makes all machines hang or resume.
func (outage rollingOutage) setHung(hung bool) {
	for _, machine := range outage.sim.machines {
		machine.hung = hung
	}
}

// missCancellationInSlowRead delays the answer to the leader's last read by 6 s, and confirms the
// cancellation after the store has sent that answer.
func (outage rollingOutage) missCancellationInSlowRead(t *testing.T) {
	t.Helper()
	link := outage.sim.links[outage.leader.Self.Label]
	link.afterWatch = func() {
		if !outage.sim.cancelAt(outage.confirming, "wk-1") {
			t.Error("the cancellation is not confirmed")
		}
		link.setRejecting(true)
		outage.sim.clock.add(6 * time.Second)
	}
	outage.sim.run(time.Second)
}

// run makes one controller lose the store each second in the given order, and runs the simulation
// until 20 s after the cancellation bound.
func (outage rollingOutage) run(t *testing.T, order [3]int, tc rollingOutageCase) {
	t.Helper()
	const duration = cancelBound + 20*time.Second
	for second := range int(duration / time.Second) {
		if second < len(order) {
			controller := outage.controllers()[order[second]]
			if controller == outage.confirming && !outage.sim.cancelAt(controller, "wk-1") {
				t.Fatal("the cancellation is not confirmed")
			}
			outage.sim.links[controller.Self.Label].setRejecting(true)
		}
		if event := tc.events[second]; event != nil {
			event(outage)
		}
		outage.sim.step()
	}
}

// checkLeasesExpired checks that no task runs on any machine, and that every lease expired when the
// last read of its controller requires.
func (outage rollingOutage) checkLeasesExpired(t *testing.T, tc rollingOutageCase) {
	t.Helper()
	if count := outage.sim.runningTasksOf("wk-1"); count != 0 {
		t.Fatalf("%d tasks run after the outage\n%s", count, outage.sim)
	}
	for _, machine := range outage.sim.machines {
		owner, _ := outage.sim.ownerOf(machine.Machine)
		owner.Lock()
		cancelled := owner.Table.Jobs["wk-1"].Phase == jobs.Cancelled
		owner.Unlock()
		if cancelled {
			// The owner has read the cancellation and kills the tasks. The lease may still be renewed,
			// since the other controllers attest that there is no other cancellation.
			continue
		}
		if len(machine.endedIncarnations) == 0 {
			t.Errorf("the lease of %s has not expired", machine.Machine)
			continue
		}
		// The lease may expire no later than if every controller had attested up to the
		// confirmation, and not long before its own controller's last read requires.
		bound := owner.Settings.RenewalBound() + leaseDuration
		if elapsed := machine.endedIncarnations[0].at.Sub(outage.sim.cancelledAt["wk-1"]); elapsed > bound+2*time.Second {
			t.Errorf("the lease of %s expired %v after the confirmation, the bound is %v", machine.Machine, elapsed, bound)
		}
		if elapsed := machine.endedIncarnations[0].at.Sub(owner.Syncer.LastReadAt()); !tc.earlyExpiry && elapsed < bound-5*time.Second {
			t.Errorf("the lease of %s expired %v after its controller's last read, the bound is %v", machine.Machine, elapsed, bound)
		}
	}
}

// checkAfterwards ends the outage and checks that the job stays cancelled, that its claims are
// released and that another job runs.
func (outage rollingOutage) checkAfterwards(t *testing.T) {
	t.Helper()
	for _, controller := range outage.controllers() {
		outage.sim.links[controller.Self.Label].setRejecting(false)
	}
	outage.sim.run(10 * time.Second)
	for _, controller := range outage.controllers() {
		if code, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != http.StatusOK || status.State != wire.StateCancelled {
			t.Errorf("%s answers %d %+v", controller.Self.Label, code, status)
		}
	}
	outage.sim.fillMachines("wk-2")
}

// TestLeasesOutlastAStoreOutageOnlyWhileAllControllersAttest makes the store unreachable for all
// controllers for minutes. Running tasks must go on while every controller attests that it knows of
// no other cancellation. Otherwise the leases must expire as usual, and tasks whose cancellation was
// confirmed must stop in time.
func TestLeasesOutlastAStoreOutageOnlyWhileAllControllersAttest(t *testing.T) {
	const outage = 3 * time.Minute
	for _, tc := range []struct {
		name   string
		before func(sim *simulation)     // called before the outage
		events map[int]func(*simulation) // by the number of seconds since the outage began
		starts int                       // of each task in the end; 0: the job is cancelled
	}{
		{"all attest", nil, nil, 1},
		{"all attest after a cancellation that all have read", func(sim *simulation) {
			sim.submit(sim.leader(), arrayJob("wk-9", 1))
			sim.cancelAt(sim.leader(), "wk-9")
			sim.run(4 * time.Second)
		}, nil, 1},
		{"one is partitioned from its peers", nil, map[int]func(*simulation){0: func(sim *simulation) { sim.isolated["b"] = true }}, 2},
		{"one is partitioned from its peers during the outage", nil, map[int]func(*simulation){60: func(sim *simulation) { sim.isolated["c"] = true }}, 2},
		{"one has not attested since its restart", func(sim *simulation) {
			sim.crash(sim.controllers["b"])
			sim.restartController("b")
			sim.isolated["b"] = true
			sim.run(8 * time.Second)
		}, nil, 2},
		{"one is of an older version", nil, map[int]func(*simulation){0: func(sim *simulation) {
			for _, controller := range sim.otherControllers(sim.controllers["b"]) {
				controller.Peers.Siblings["b"].Attestation = membership.Attestation{} // older versions attest nothing
			}
			sim.isolated["b"] = true
		}}, 2},
		{"one reaches the store for an instant and confirms a cancellation", nil, map[int]func(*simulation){40: func(sim *simulation) {
			cancelDuringReconnect(sim)
			sim.links["b"].setRejecting(true)
		}}, 0},
		{"one reaches the store for an instant, confirms a cancellation and crashes", nil, map[int]func(*simulation){40: func(sim *simulation) {
			cancelDuringReconnect(sim)
			delete(sim.controllers, "b")
		}}, 0},
		{"one reaches the store for an instant, confirms a cancellation, crashes and restarts", nil, map[int]func(*simulation){
			40: func(sim *simulation) {
				cancelDuringReconnect(sim)
				sim.restartController("b") // it reads the store, opens a session and then loses the store again
				sim.links["b"].setRejecting(true)
			}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.fillMachines("wk-1")
			sim.run(4 * time.Second)
			if tc.before != nil {
				tc.before(sim)
			}
			for _, link := range sim.links {
				link.setRejecting(true)
			}
			for second := range int(outage / time.Second) {
				if event := tc.events[second]; event != nil {
					event(sim)
				}
				sim.step()
			}
			if tc.starts == 1 {
				sim.checkTasks("during the outage", "wk-1", 12, 1)
				if _, _, page := sendRequest(sim.leader(), "GET", "/status", nil); !strings.Contains(string(page.Response.Body()), "cancellations known until 0.0 s ago") {
					t.Errorf("the status page does not show that cancellations are known up to now:\n%s", page.Response.Body())
				}
			} else if count := sim.runningTasksOf("wk-1"); tc.starts == 0 && count != 0 {
				t.Errorf("%d tasks of a cancelled job run\n%s", count, sim)
			}
			for _, link := range sim.links {
				link.setRejecting(false)
			}
			clear(sim.isolated)
			sim.run(30 * time.Second)
			sim.checkTasks("after the outage", "wk-1", 12*min(tc.starts, 1), tc.starts)
		})
	}
}

// cancelDuringReconnect makes the controller b reach the store again and confirm a cancellation.
func cancelDuringReconnect(sim *simulation) {
	sim.t.Helper()
	controller := sim.controllers["b"]
	sim.links["b"].setRejecting(false)
	if err := controller.Syncer.Refresh(context.Background()); err != nil || !sim.cancelAt(controller, "wk-1") {
		sim.t.Error("the cancellation is not confirmed")
	}
}

// TestPollsOfAllJobsAreAnsweredAfterAStoreOutage checks that after an outage the polls of all jobs
// are answered within a few rounds, and that the queue does not reject the same polls every time.
func TestPollsOfAllJobsAreAnsweredAfterAStoreOutage(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const jobCount = 600
	for i := range jobCount {
		value := wire.MustMarshal(jobs.Record{Phase: jobs.Open, Tasks: 1, TasksPerChunk: 70, Spec: ptr(arrayJob(fmt.Sprintf("wk-%d", i), 1))})
		if _, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: jobs.JobKey(fmt.Sprintf("wk-%d", i)), Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	env.store.Unavailable = true
	env.clock.add(time.Minute)
	if code, _, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != http.StatusServiceUnavailable {
		t.Fatalf("a poll during an outage returned status %d", code)
	}
	env.store.Unavailable = false
	env.refreshAll()
	left := map[string]bool{}
	for i := range jobCount {
		left[fmt.Sprintf("wk-%d", i)] = true
	}
	for round := 0; len(left) > 0; round++ {
		if round == 4 {
			t.Fatalf("%d jobs got no answer in four rounds of polls", len(left))
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		// Copies the keys, since answered jobs leave the map meanwhile.
		for _, jobID := range slices.Collect(maps.Keys(left)) {
			wg.Go(func() {
				if code, _, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					delete(left, jobID)
				}
			})
		}
		wg.Wait()
	}
}

// TestPartitionedControllerKeepsTasksRunningAndStartsNone partitions a controller from the store and
// its peers, but not from its workers. It must renew leases for a while, start no tasks, answer users
// with 503 at once, and redirect its workers before a renewed lease could outlast a cancellation.
func TestPartitionedControllerKeepsTasksRunningAndStartsNone(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller := env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.submit(controller, arrayJob("wk-2", 1))
	env.runPasses()
	env.runPasses()
	running := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}
	env.acknowledgeToken("h1", 1, running)
	env.store.Unavailable = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	code, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken(), running))
	if commands := heartbeatCommands(t, code, body); len(commands) != 0 {
		t.Fatalf("without the store it sends commands %v", commands)
	}
	reads := env.store.WatchCalls
	for _, path := range []string{"/work/wk-1", "/work/wk-77"} {
		if code, _, response := sendRequest(controller, "GET", path, nil); code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
			t.Fatalf("GET %s: %d", path, code)
		}
	}
	if code, _, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-9", 1)); code != http.StatusServiceUnavailable {
		t.Fatalf("a submission without the store returned status %d", code)
	}
	if env.store.WatchCalls != reads {
		t.Fatal("user requests start a read of the store that can't be answered")
	}
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()+1, running)); code == http.StatusOK {
		t.Fatal("a heartbeat with a higher token was answered with 200")
	}
	// Past its renewal bound it redirects its workers. The other controller owns them by then, and
	// releases nothing before the leases have certainly expired.
	env.clock.add(cancelBound - leaseDuration)
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken(), running)); code != http.StatusMisdirectedRequest {
		t.Fatalf("past the renewal bound a heartbeat is answered with %d", code)
	}
	env.store.Unavailable = false
	env.store.ExpireLease(controller.Self.Incarnation)
	env.refreshAll()
	controller.election.ExpireSession(controller.Self.Incarnation)
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
	survivor := env.leader()
	if survivor.claimsOn("h1") != 2 {
		t.Fatal("claims were released before the lease has certainly expired")
	}
	for range 3 {
		// Back at the store it registers one new session and makes no further changes.
		controller.Lock()
		controller.Session, controller.Self.Incarnation = controller.Session.Next(membership.LeaseGranted), 0
		controller.Unlock()
		controller.Self.Incarnation, _ = env.store.GrantLease(context.Background(), time.Second)
		break
	}
	for range 4 {
		env.stepMembership()
	}
	revision := env.store.Revision
	for range 5 {
		env.stepMembership()
		env.runPasses()
	}
	if env.store.Revision-revision > 4 {
		t.Fatalf("%d store changes after the controller's return", env.store.Revision-revision)
	}
}
