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

// Copies of heartbeats are delivered later: after a newer heartbeat, after the reap of a task, after
// the machine has failed, and to the owner after a failover. Guards against copies that renew a
// lease, acknowledge a fencing token or change a task.
func TestReplayedHeartbeatsChangeNothing(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller := env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.runPasses()
	failed := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseError}
	before := env.heartbeat("h1", 1, controller.fencingToken())
	env.acknowledgeToken("h1", 1, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	olderCopy := *before
	if code, body := controller.receiveHeartbeat(&olderCopy); code == http.StatusOK {
		t.Fatalf("a copy got the response to a new heartbeat: %v", body)
	}
	if controller.claimsOn("h1") != 1 || len(controller.Workers.ByMachine["h1"].Tasks) != 1 {
		t.Fatal("a copy that does not list the running task changed it")
	}
	// A failed attempt is released and reaped, and the task is claimed again. Then a copy of the
	// heartbeat that listed the failed attempt arrives.
	exited := env.heartbeat("h1", 1, controller.fencingToken(), failed)
	controller.receiveHeartbeat(exited)
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1, failed)
	env.runPasses()
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1)
	env.runPasses()
	exitedCopy := *exited
	controller.receiveHeartbeat(&exitedCopy)
	env.runPasses()
	controller.Lock()
	task := controller.Table.Jobs["wk-1"].Task(0)
	controller.Unlock()
	if task.State == jobs.Completed || task.Attempt > 2 {
		t.Fatalf("a copy of a reaped attempt changed the task: %+v", task)
	}
	// The machine fails, and copies arrive for longer than a lease. The lease must expire anyway, and
	// the machine must not be schedulable.
	last := env.heartbeat("h1", 1, controller.fencingToken())
	controller.receiveHeartbeat(last)
	for range 6 {
		env.clock.add(leaseDuration / 4)
		env.refreshAll()
		lastCopy := *last
		controller.receiveHeartbeat(&lastCopy)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("copies renewed the lease of a failed machine")
	}
	controller.Lock()
	schedulable := controller.MachineIndex.RefreshMachines(env.clock.now()).Machine("h1").Schedulable
	controller.Unlock()
	if schedulable {
		t.Fatal("copies make a failed machine schedulable")
	}
	// The owner loses its session. The next owner, which is the other controller or the same one with
	// a new incarnation, receives a copy as the first heartbeat of the machine.
	env.store.ExpireLease(controller.Self.Incarnation)
	env.refreshAll()
	controller.election.ExpireSession(controller.Self.Incarnation)
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
	owner, _ := env.ownerOf("h1")
	lastCopy := *last
	owner.receiveHeartbeat(&lastCopy)
	env.submit(owner, arrayJob("wk-2", 1))
	env.runPasses()
	if owner.claimsOn("h1") != 0 {
		t.Fatal("a task was placed on a failed machine because of a copy of its heartbeat")
	}
}

// Heartbeats that no correct worker of this version sends get a status of the protocol and change
// nothing. Repeated requests return the present state of the job and change nothing.
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
		"lower incarnation":       {Machine: "h1", MachineType: "g", Incarnation: 2, Sequence: 999, FencingToken: controller.fencingToken()},
		"lower sequence number":   {Machine: "h1", MachineType: "g", Incarnation: 3, Sequence: 1, FencingToken: controller.fencingToken()},
		"token never issued":      {Machine: "h1", MachineType: "g", Incarnation: 4, Sequence: 1, FencingToken: controller.fencingToken() + 7},
		"incarnation zero":        {Machine: "h1", MachineType: "g", Sequence: 1},
		"no machine name":         {Incarnation: 1, Sequence: 1},
		"malformed task name":     {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "nonsense", Attempt: 1, State: wire.TaskRunning}}},
		"unknown machine":         {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 2, FencingToken: controller.fencingToken()},
		"exit on another machine": {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 3, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
		"exit of an unknown job":  {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 4, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-77/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
	} {
		if code, _, _ := sendRequest(controller, "POST", "/checkin", heartbeat); code != http.StatusOK && code != http.StatusBadRequest && code != http.StatusMisdirectedRequest && code != http.StatusServiceUnavailable {
			t.Errorf("%s: unexpected status %d", name, code)
		}
	}
	for range 2 {
		if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != wire.StateRunning {
			t.Fatalf("repeated submission: %d %+v", code, status)
		}
	}
	env.runPasses()
	if env.store.Revision != revision || controller.claimsOn("h1") != 1 || controller.claimsOn("h9") != 0 {
		t.Fatalf("%d changes, %d claims on h1 and %d on h9, want 0, 1 and 0", env.store.Revision-revision, controller.claimsOn("h1"), controller.claimsOn("h9"))
	}
	if code, _, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK {
		t.Fatalf("cancellation: %d", code)
	}
	revision = env.store.Revision
	if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled || env.store.Revision != revision {
		t.Fatalf("repeated cancellation: %d %+v", code, status)
	}
	if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("a submission after its cancellation: %d %+v", code, status)
	}
}

// Machines are cut off by a network partition when a controller restart changes the membership. A
// machine that keeps its owner never acknowledges the new fencing token, but its tasks must still be
// released when its lease has expired. Tasks on machines that change their owner must be kept,
// because the new owner cannot determine that the lease has expired. A controller with a new
// incarnation counts as a new owner.
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
		owner, _ := env.ownerOf(machineName)
		owners[machineName] = owner.Self.Label
		if owner.claimsOn(machineName) == 0 {
			t.Fatalf("no task is placed on %s", machineName)
		}
	}
	incarnations := map[string]uint64{}
	for _, controller := range env.controllers {
		incarnations[controller.Self.Label] = controller.Self.Incarnation
	}
	env.raiseFencingToken() // from here on, no machine sends heartbeats
	env.clock.add(time.Duration(float64(leaseDuration)*tuning.DriftFactor) + tuning.LeaseMargin + time.Second)
	for range 4 {
		env.refreshAll()
		env.runPasses()
		env.clock.add(tuning.ReleaseBatchDelay)
	}
	kept, moved := 0, 0
	for _, machineName := range machineNames {
		owner, _ := env.ownerOf(machineName)
		keptOwner := owners[machineName] == owner.Self.Label && incarnations[owner.Self.Label] == owner.Self.Incarnation
		switch claims := owner.claimsOn(machineName); {
		case keptOwner && claims > 0:
			t.Errorf("%s keeps its owner %s, which has not released its %d tasks", machineName, owner.Self.Label, claims)
		case !keptOwner && claims == 0:
			t.Errorf("%s has a new owner, which released its tasks before the lease has certainly expired", machineName)
		case keptOwner:
			kept++
		default:
			moved++
		}
	}
	if kept == 0 || moved == 0 {
		t.Fatalf("%d machines kept their owner and %d changed it: the test needs some of both", kept, moved)
	}
}

// A controller that has missed a membership does not know who owned its machines in that membership.
// It must not rely on their acknowledged tokens any more.
func TestAMissedMembershipVoidsAcknowledgedTokens(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	ranged := func(first uint64) membership.Record {
		return membership.Record{FencingToken: first + tuning.TokenRange - 1, TokensBelow: tuning.TokenRange - 1}
	}
	for _, tc := range []struct {
		name     string
		previous membership.Record // its tokens
		next     func(*membership.Record) membership.Record
		want     worker.TokenState
	}{
		{"the next membership", ranged(1001), func(previous *membership.Record) membership.Record { return ranged(previous.LastToken() + 1) }, worker.TokenAcknowledged},
		{"a membership after a missed one", ranged(1001), func(previous *membership.Record) membership.Record { return ranged(previous.LastToken() + 2) }, worker.TokenUnacknowledged},
		{"the next membership by an older version", ranged(1001), func(previous *membership.Record) membership.Record {
			return membership.Record{FencingToken: previous.FencingToken + 1}
		}, worker.TokenAcknowledged},
		{"a membership by an older version, with a token of the previous range", membership.Record{FencingToken: 1001, TokenCount: 100}, func(previous *membership.Record) membership.Record {
			return membership.Record{FencingToken: previous.FencingToken + 1}
		}, worker.TokenUnacknowledged},
	} {
		controller.Lock()
		apply := func(tokens membership.Record) error {
			record := *controller.Membership
			record.FencingToken, record.TokensBelow, record.TokenCount = tokens.FencingToken, tokens.TokensBelow, tokens.TokenCount
			return applyMembership(controller, record)
		}
		err := apply(tc.previous)
		controller.Workers.ByMachine["h1"].State = worker.TokenAcknowledged
		if err == nil {
			err = apply(tc.next(controller.Membership))
		}
		got := controller.Workers.ByMachine["h1"].State
		controller.Unlock()
		if err != nil || got != tc.want {
			t.Errorf("under %s, the machine is %s, want %s (error: %v)", tc.name, got, tc.want, err)
		}
	}
}

// A controller that cannot read the store does not see cancellations. It must start no tasks, and
// it must stop renewing leases after a limited time, so that the leases expire before the
// cancellation bound.
func TestAPartitionedControllerStopsRenewingLeasesBeforeTheCancellationBound(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.store.Unavailable = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands while the store is unavailable: %v", commands)
	}
	env.clock.add(controller.Settings.RenewalBound() - tuning.StoreStaleAfter)
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken())); code == http.StatusOK {
		t.Fatal("status 200 after the renewal bound")
	}
	if longest := controller.Settings.RenewalBound() + leaseDuration; longest >= cancelBound {
		t.Fatalf("a lease can last until %v after the last read, the cancellation bound is %v", longest, cancelBound)
	}
}

// A controller redirects a heartbeat of a machine that it does not own to the shard owner. The owner
// refuses the heartbeat of a worker that has seen a higher fencing token.
func TestOnlyTheShardOwnerAcceptsAHeartbeat(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	code, body := other.receiveHeartbeat(env.heartbeat("h1", 1, 0))
	if redirect, ok := body.(wire.Redirect); code != http.StatusMisdirectedRequest || !ok || redirect.Controller != owner.Self.Label {
		t.Fatalf("the other controller responded %d %v", code, body)
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, owner.fencingToken()+1)); code == http.StatusOK {
		t.Fatal("status 200 for a worker that has seen a higher token")
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, 0)); code != http.StatusOK {
		t.Fatalf("the owner responded %d", code)
	}
}

// A worker gets the command to start a task only after its claim is stored, and the command to reap
// it only after its release is stored. Users see the end of the task only after that, too.
func TestCommandsFollowStoredClaimsAndReleases(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	token := controller.fencingToken()
	controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	env.submit(controller, arrayJob("wk-1", 1))
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands before a claim is stored: %v", commands)
	}
	env.runPasses()
	controller.awaitDirectCalls()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, token))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 1 || commands[0].Verb != wire.VerbStart || commands[0].Attempt != 1 {
		t.Fatalf("commands for a stored claim: %v, want one start of attempt 1", commands)
	}
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, token, exited))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands before the release is stored: %v", commands)
	}
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State == wire.StateDone {
		t.Fatal("the job is shown as done before that is stored")
	}
	env.runPasses()
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State != wire.StateDone || status.Done != 1 {
		t.Fatalf("job after the release: %+v, want it done", status)
	}
	// Record a response to the direct call of the pass. A copy of the call may still arrive until the
	// worker has shown a higher token, and the task is not reaped before.
	controller.Lock()
	controller.Workers.ByMachine["h1"].RecordStartsAnswered([]worker.Attempt{{Task: jobs.TaskID{Job: "wk-1"}, Number: 1}}, token, 1, 1)
	controller.Unlock()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, token, exited))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 0 {
		t.Fatalf("commands while a copy of the start may arrive: %v", commands)
	}
	raised := body.(wire.HeartbeatResponse).FencingToken
	if raised <= token {
		t.Fatalf("token %d in the response, want one above %d", raised, token)
	}
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, raised, exited))
	if commands := heartbeatCommands(t, http.StatusOK, body); len(commands) != 1 || commands[0].Verb != wire.VerbReap {
		t.Fatalf("commands after the release: %v, want one reap", commands)
	}
	if record := controller.jobRecord("wk-1"); record.Phase != jobs.Done || record.Spec != nil {
		t.Fatalf("final record: %+v, want it done without the specification", record)
	}
}
