package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// Heartbeats are delivered again: seconds later, after a lease, in a new incarnation,
// after a reap, after a failover, and to a controller just started. Guards against
// copies that renew a lease, acknowledge a token or change a task.
func TestReplayedHeartbeatsChangeNothing(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller := env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.runPasses()
	done := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseError}
	before := env.heartbeat("h1", 1, controller.fencingToken())
	env.acknowledgeToken("h1", 1, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	late := *before
	if code, body := controller.receiveHeartbeat(&late); code == http.StatusOK {
		t.Fatalf("a copy was answered as a heartbeat: %v", body)
	}
	if controller.claimsOn("h1") != 1 || len(controller.Workers.ByMachine["h1"].Tasks) != 1 {
		t.Fatal("a copy without the task took it out of sight")
	}
	// A failed attempt is released, reaped and claimed again; then the heartbeat
	// that listed it comes once more.
	exited := env.heartbeat("h1", 1, controller.fencingToken(), done)
	controller.receiveHeartbeat(exited)
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1, done)
	env.runPasses()
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1)
	env.runPasses()
	again := *exited
	controller.receiveHeartbeat(&again)
	env.runPasses()
	controller.Lock()
	task := controller.Table.Jobs["wk-1"].Task(0)
	controller.Unlock()
	if task.State == jobs.Completed || task.Attempt > 2 {
		t.Fatalf("a copy of a reaped attempt changed the task: %+v", task)
	}
	// The machine dies. Copies go on for well over a lease; the lease ends all
	// the same, and they make nothing look alive.
	last := env.heartbeat("h1", 1, controller.fencingToken())
	controller.receiveHeartbeat(last)
	for range 6 {
		env.clock.add(leaseDuration / 4)
		env.refreshAll()
		c := *last
		controller.receiveHeartbeat(&c)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("copies kept the lease of a dead machine alive")
	}
	controller.Lock()
	open := controller.MachineIndex.RefreshMachines(env.clock.now()).Machine("h1").Schedulable
	controller.Unlock()
	if open {
		t.Fatal("copies make a dead machine look alive")
	}
	// The owner's process is replaced: the new one, or the other controller, knows
	// nothing of the machine and gets a copy first.
	env.store.Expire(controller.Self.Incarnation)
	env.refreshAll()
	controller.election.EndSession(controller.Self.Incarnation)
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
	now, _ := env.ownerOf("h1")
	c := *last
	now.receiveHeartbeat(&c)
	env.submit(now, arrayJob("wk-2", 1))
	env.runPasses()
	if now.claimsOn("h1") != 0 {
		t.Fatal("a task was placed on a dead machine that a copy spoke for")
	}
}

// Heartbeats that no honest, up-to-date worker sends are answered by the protocol and
// change nothing; so are repeated requests that were carried out before.
func TestInvalidHeartbeatsAndRepeatedRequestsChangeNothing(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 3)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.acknowledgeToken("h1", 3, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	revision := env.store.Revision
	for name, heartbeat := range map[string]*wire.Heartbeat{
		"session goes back":    {Machine: "h1", MachineType: "g", Incarnation: 2, Sequence: 999, FencingToken: controller.fencingToken()},
		"sequence goes back":   {Machine: "h1", MachineType: "g", Incarnation: 3, Sequence: 1, FencingToken: controller.fencingToken()},
		"token from nowhere":   {Machine: "h1", MachineType: "g", Incarnation: 4, Sequence: 1, FencingToken: controller.fencingToken() + 7},
		"session zero":         {Machine: "h1", MachineType: "g", Sequence: 1},
		"no name":              {Incarnation: 1, Sequence: 1},
		"shards from nowhere":  {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "nonsense", Attempt: 1, State: wire.TaskRunning}}},
		"unknown machine":      {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 2, FencingToken: controller.fencingToken()},
		"exit of another's":    {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 3, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
		"exit without a claim": {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 4, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-77/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
	} {
		if code, _, _ := sendRequest(controller, "POST", "/checkin", heartbeat); code != http.StatusOK && code != http.StatusBadRequest && code != http.StatusMisdirectedRequest && code != http.StatusServiceUnavailable {
			t.Errorf("%s: %d", name, code)
		}
	}
	for range 2 {
		if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != wire.StateRunning {
			t.Fatalf("repeated submission: %d %+v", code, status)
		}
	}
	env.runPasses()
	if env.store.Revision != revision || controller.claimsOn("h1") != 1 || controller.claimsOn("h9") != 0 {
		t.Fatalf("%d changes, %d claims", env.store.Revision-revision, controller.claimsOn("h1"))
	}
	if code, _, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK {
		t.Fatal(code)
	}
	revision = env.store.Revision
	if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled || env.store.Revision != revision {
		t.Fatalf("repeated cancellation: %d %+v", code, status)
	}
	if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("a submission after its cancellation: %d %+v", code, status)
	}
}

// A zone is partitioned, and a controller restarts: tasks on machines behind the
// partition are released when their leases expire, though no heartbeat acknowledges
// the new fencing token, if nobody else has owned them meanwhile; and no other tasks.
func TestAcknowledgedTokensOutliveAMembershipThatKeepsTheOwner(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	for _, controller := range env.controllers {
		controller.setTeamLimit(1000)
	}
	env.raiseFencingToken()
	machineNames := make([]string, 12)
	for i := range machineNames {
		machineNames[i] = fmt.Sprintf("h%d", i)
		env.addMachine(machineNames[i], "service")
		env.acknowledgeToken(machineNames[i], 1)
	}
	env.exchangePeerStatus()
	env.submit(env.leader(), serviceJob("wk-1", 48))
	for range 3 {
		env.runPasses()
	}
	owners := map[string]string{}
	for _, machineName := range machineNames {
		o, _ := env.ownerOf(machineName)
		owners[machineName] = o.Self.Label
		if o.claimsOn(machineName) == 0 {
			t.Fatalf("nothing is placed on %s", machineName)
		}
	}
	before := map[string]uint64{}
	for _, controller := range env.controllers {
		before[controller.Self.Label] = controller.Self.Incarnation
	}
	env.raiseFencingToken() // from here on no machine sends heartbeats
	env.clock.add(time.Duration(float64(leaseDuration)*tuning.DriftFactor) + tuning.LeaseMargin + time.Second)
	for range 4 {
		env.refreshAll()
		env.runPasses()
		env.clock.add(tuning.ReleaseBatchDelay)
	}
	kept, moved := 0, 0
	for _, machineName := range machineNames {
		o, _ := env.ownerOf(machineName)
		same := owners[machineName] == o.Self.Label && before[o.Self.Label] == o.Self.Incarnation
		switch claims := o.claimsOn(machineName); {
		case same && claims > 0:
			t.Errorf("%s stays with %s, which may not release its %d tasks", machineName, o.Self.Label, claims)
		case !same && claims == 0:
			t.Errorf("%s has another owner, which released its tasks before its lease has surely expired", machineName)
		case same:
			kept++
		default:
			moved++
		}
	}
	if kept == 0 || moved == 0 {
		t.Fatalf("%d machines stayed, %d moved: nothing is tested", kept, moved)
	}
}

// A controller that has missed a membership can't tell who owned its machines under
// it: their acknowledged tokens show nothing any more.
func TestAMissedMembershipVoidsAcknowledgedTokens(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	for _, tc := range []struct {
		name string
		next func(*membership.Record) uint64
		want worker.TokenState
	}{
		{"the next", func(r *membership.Record) uint64 { return r.LastToken() + 1 }, worker.TokenAcknowledged},
		{"the one after it", func(r *membership.Record) uint64 { return r.LastToken() + 2 }, worker.TokenUnacknowledged},
		{"an older version's, which takes a token of the one before", func(r *membership.Record) uint64 { return r.FencingToken + 1 }, worker.TokenUnacknowledged},
	} {
		controller.Lock()
		r := *controller.Membership
		controller.Workers.ByMachine["h1"].State = worker.TokenAcknowledged
		r.FencingToken, r.TokenRange = tc.next(controller.Membership), tuning.TokenRange
		err := applyMembership(controller, r)
		got := controller.Workers.ByMachine["h1"].State
		controller.Unlock()
		if err != nil || got != tc.want {
			t.Errorf("under %s membership the machine is %s, want %s (%v)", tc.name, got, tc.want, err)
		}
	}
}

// A controller that can't read cancellations renews leases for a while, starts
// nothing, and then stops answering so that the leases expire before the cancellation
// bound.
func TestAPartitionedControllerStopsRenewingLeasesBeforeTheCancellationBound(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.store.Unavailable = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	if commands := commandsOf(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands without the store: %v", commands)
	}
	env.clock.add(controller.Settings.RenewalBound() - tuning.StoreStaleAfter)
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken())); code == http.StatusOK {
		t.Fatal("200 after the bound")
	}
	if last := controller.Settings.RenewalBound() + leaseDuration; last >= cancelBound {
		t.Fatalf("a lease may last %v after the last read, a cancellation has %v", last, cancelBound)
	}
}

// A heartbeat at another controller is redirected to the shard owner; the owner
// refuses a worker that has seen a higher fencing token.
func TestOnlyTheShardOwnerAnswersAHeartbeat(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	code, body := other.receiveHeartbeat(env.heartbeat("h1", 1, 0))
	if r, ok := body.(wire.Redirect); code != http.StatusMisdirectedRequest || !ok || r.Controller != owner.Self.Label {
		t.Fatalf("another controller answered %d %v", code, body)
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, owner.fencingToken()+1)); code == http.StatusOK {
		t.Fatal("200 to a worker that has seen a higher token")
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, 0)); code != http.StatusOK {
		t.Fatalf("the owner answered %d", code)
	}
}

// A worker is told to start a task only once its claim is stored, to reap it only once
// its release is, and users hear of its end only then.
func TestCommandsFollowStoredClaimsAndReleases(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	b := controller.fencingToken()
	controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	env.submit(controller, arrayJob("wk-1", 1))
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	if commands := commandsOf(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands before a claim is stored: %v", commands)
	}
	env.runPasses()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	if commands := commandsOf(t, http.StatusOK, body); len(commands) != 1 || commands[0].Verb != wire.VerbStart || commands[0].Attempt != 1 {
		t.Fatalf("commands for a stored claim: %v", commands)
	}
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b, exited))
	if commands := commandsOf(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands before the release is stored: %v", commands)
	}
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State == wire.StateDone {
		t.Fatal("called done before it is stored")
	}
	env.runPasses()
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State != wire.StateDone || status.Done != 1 {
		t.Fatalf("after the release: %+v", status)
	}
	// Direct calls of the pass were not answered: a start may be under way.
	controller.Lock()
	controller.Workers.ByMachine["h1"].StartsAnswered([]worker.Attempt{{ID: jobs.TaskID{Job: "wk-1"}, Number: 1}}, b, 1, 1)
	controller.Unlock()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b, exited))
	if commands := commandsOf(t, http.StatusOK, body); len(commands) != 1 || commands[0].Verb != wire.VerbReap {
		t.Fatalf("after the release: %v", commands)
	}
	if rec := controller.jobRecord("wk-1"); rec.Phase != jobs.Done || rec.Spec != nil {
		t.Fatalf("final record: %+v", rec)
	}
}
