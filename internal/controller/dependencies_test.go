package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

func dependentJob(spec wire.JobSpec, dependsOn ...string) wire.JobSpec {
	spec.DependsOn = dependsOn
	return spec
}

// finishTasks lets the tasks of a job that are claimed on a machine exit with
// "done", and stores their ends.
func (env *testEnv) finishTasks(machineName string, tasks ...string) {
	env.t.Helper()
	var list []wire.TaskStatus
	for _, s := range tasks {
		list = append(list, wire.TaskStatus{Task: s, Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone})
	}
	env.acknowledgeToken(machineName, 1, list...)
	env.clock.add(2 * time.Second)
	env.runPasses()
}

func (env *testEnv) checkStates(what string, want map[string]string) {
	env.t.Helper()
	env.refreshAll()
	for label, controller := range env.controllers {
		for jobID, phase := range want {
			if code, status, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code != 200 || status.State != phase {
				env.t.Errorf("%s: %s says %d %s of %s, want %s", what, label, code, status.State, jobID, phase)
			}
		}
	}
}

func TestAJobStartsOnceAllItsDependenciesAreStoredDone(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, arrayJob("wk-1", 1))
	env.submit(b, arrayJob("wk-2", 1))
	env.submit(a, dependentJob(arrayJob("wk-3", 2), "wk-1", "wk-2", "wk-1"))
	env.runPasses()
	for _, controller := range env.controllers {
		if c := controller.Table.Jobs["wk-3"].Counts; c[jobs.Claimed] != 0 || controller.Table.ResourcesByTeam["x"].GPUs != 2 || controller.scheduler.Unplaced["wk-3"] != 0 {
			t.Fatalf("a waiting job has claims %v, its team holds %v, unmet %d", c, controller.Table.ResourcesByTeam["x"], controller.scheduler.Unplaced["wk-3"])
		}
		if len(controller.Table.Jobs["wk-3"].Record.Spec.DependsOn) != 2 {
			t.Fatal("repeated names count twice")
		}
	}
	env.checkStates("waiting", map[string]string{"wk-3": wire.StateQueued})
	env.finishTasks("h1", "wk-1/0")
	env.checkStates("half done", map[string]string{"wk-1": wire.StateDone, "wk-3": wire.StateQueued})
	if a.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 0 {
		t.Fatal("it starts before all is done")
	}
	_, _, c := sendRequest(a, "GET", "/status?job=wk-3", nil)
	if body := string(c.Response.Body()); !strings.Contains(body, "awaits wk-2\n") {
		t.Fatalf("status says %q", body)
	}
	// A node that starts now knows as much, and the time of release is kept.
	end := env.clock.now()
	env.finishTasks("h1", "wk-2/0")
	fresh := env.startController("c", []string{"a", "b", "c"})
	if j := fresh.Table.Jobs["wk-3"]; j.Phase != jobs.Open || j.ReadyAtMs < end.UnixMilli() {
		t.Fatalf("after a restart: %s, ready %d, ended %d", j.Phase, j.ReadyAtMs, end.UnixMilli())
	}
	delete(env.controllers, "c")
	env.runPasses()
	if a.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 2 {
		t.Fatal("it does not start")
	}
	env.finishTasks("h1", "wk-3/0", "wk-3/1")
	env.checkStates("over", map[string]string{"wk-3": wire.StateDone})
}

func TestCancellationReachesDependentsAtEveryControllerAtOnce(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, arrayJob("wk-1", 1))
	env.submit(a, dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.submit(b, dependentJob(arrayJob("wk-3", 1), "wk-2"))
	env.submit(b, arrayJob("wk-4", 1))
	env.submit(b, dependentJob(arrayJob("wk-5", 1), "wk-4"))
	writes := env.store.Revision
	if code, status, _ := sendRequest(a, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %s", code, status.State)
	}
	if env.store.Revision != writes+1 {
		t.Fatalf("%d changes", env.store.Revision-writes)
	}
	// A submission that races with it, at a node that has not read it yet.
	if code, _, _ := sendRequest(b, "POST", "/work", dependentJob(arrayJob("wk-6", 1), "wk-3")); code != 201 {
		t.Fatalf("a submission after the cancellation: %d", code)
	}
	all := map[string]string{"wk-1": wire.StateCancelled, "wk-2": wire.StateCancelled, "wk-3": wire.StateCancelled,
		"wk-6": wire.StateCancelled, "wk-4": wire.StateQueued, "wk-5": wire.StateQueued}
	env.checkStates("at once", all)
	if code, status, _ := sendRequest(b, "POST", "/work/wk-3/cancel", nil); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("cancelled again: %d %s", code, status.State)
	}
	// Later it is stored, so that intake records go and old versions see it.
	env.runPasses()
	env.runPasses()
	for _, jobID := range []string{"wk-2", "wk-3", "wk-6"} {
		if r := a.jobRecord(jobID); r.Phase != jobs.Cancelled || r.CancelledWith == "" {
			t.Errorf("%s is stored %s", jobID, r.Phase)
		}
	}
	env.checkStates("stored", all)
	// The end of a dependant by its own cancellation leaves the rest alone.
	if code, _, _ := sendRequest(a, "POST", "/work/wk-5/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	env.checkStates("a dependant", map[string]string{"wk-4": wire.StateQueued, "wk-5": wire.StateCancelled})
}

// The end of a job and its cancellation meet in the store: one of them wins,
// and what depends on the job follows the one that did.
func TestACancellationAfterTheEndLetsDependentsRun(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.submit(env.controllers["a"], dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.runPasses()
	env.finishTasks("h1", "wk-1/0")
	if code, status, _ := sendRequest(env.controllers["b"], "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateDone {
		t.Fatalf("cancellation of a done job: %d %s", code, status.State)
	}
	env.runPasses()
	env.checkStates("after it", map[string]string{"wk-2": wire.StateRunning})
}

func TestSubmissionsWithDependenciesAreValidated(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.submit(a, serviceJob("wk-9", 1))
	// Accepted a moment ago at the other node, which this one has not read.
	if code, _, _ := sendRequest(b, "POST", "/work", arrayJob("wk-1", 1)); code != 201 {
		t.Fatal(code)
	}
	if code, _, _ := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-2", 1), "wk-1")); code != 201 {
		t.Fatalf("a job accepted a moment ago: %d", code)
	}
	long := dependentJob(arrayJob("wk-3", 1))
	for range 400 {
		long.DependsOn = append(long.DependsOn, "wk-1", "wk-2", "wk-000000000000000001")
	}
	for what, c := range map[string]struct {
		wk   wire.JobSpec
		want int
	}{
		"itself":         {dependentJob(arrayJob("wk-5", 1), "wk-5"), 422},
		"a service":      {dependentJob(arrayJob("wk-5", 1), "wk-9"), 422},
		"never accepted": {dependentJob(arrayJob("wk-5", 1), "wk-1", "wk-777"), 422},
		"malformed name": {dependentJob(arrayJob("wk-5", 1), "seven"), 422},
		"too many":       {long, 422},
		"known before":   {dependentJob(arrayJob("wk-1", 1), "wk-777"), 200},
	} {
		if code, _, _ := sendRequest(a, "POST", "/work", c.wk); code != c.want {
			t.Errorf("%s: %d, want %d", what, code, c.want)
		}
	}
	var fields map[string]any
	if err := wire.Unmarshal(wire.MustMarshal(arrayJob("wk-6", 1)), &fields); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []any{"wk-1", 7, []any{7}, map[string]any{"wk-1": true}} {
		fields["awaits"] = bad
		if code, _, _ := sendRequest(a, "POST", "/work", wire.MustMarshal(fields)); code != 400 {
			t.Errorf("awaits %v: %d", bad, code)
		}
	}
	fields["awaits"] = nil
	if code, _, _ := sendRequest(a, "POST", "/work", wire.MustMarshal(fields)); code != 201 || a.jobRecord("wk-6").Phase != jobs.Open {
		t.Errorf("awaits null: %d", code)
	}
	// Without a fresh read nobody knows: never a 422.
	env.store.Down = true
	env.clock.add(5 * time.Second)
	code, _, c := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-7", 1), "wk-777"))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("without the state service: %d", code)
	}
}

// setOldVersion takes a node for one of a version that tells no forms.
func (env *testEnv) setOldVersion(label string, old bool) {
	env.t.Helper()
	controller := env.controllers[label]
	s := any(controller.Self)
	if !old {
		s = membership.Session{Node: controller.Self, Format: membership.CurrentFormat, ProgramVersion: "x"}
	}
	key := membership.SessionKey(label)
	if _, err := env.store.CompareAndSwap(context.Background(), store.ClassLease, nil, []wire.Operation{{Put: key, Value: wire.MustMarshal(s), LeaseID: controller.Self.Incarnation}}); err != nil {
		env.t.Fatal(err)
	}
	env.refreshAll()
}

func TestDependenciesWaitForControllersOfOlderVersions(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	a := env.controllers["a"]
	token := a.fencingToken()
	env.setOldVersion("b", true)
	env.stepMembership()
	if a.fencingToken() != token {
		t.Fatal("what a session tells of its version changes the membership")
	}
	env.submit(a, arrayJob("wk-1", 1))
	code, _, c := sendRequest(a, "POST", "/work", dependentJob(arrayJob("wk-2", 1), "wk-1"))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("in a mix: %d", code)
	}
	env.setOldVersion("b", false)
	env.submit(a, dependentJob(arrayJob("wk-2", 1), "wk-1"))
	env.runPasses()
	env.finishTasks("h1", "wk-1/0")
	// An old one is back: it would stop the task on its machines.
	j := a.Table.Jobs["wk-2"]
	if j.Counts[jobs.Claimed] != 1 {
		t.Fatalf("%v", j.Counts)
	}
	env.submit(a, dependentJob(arrayJob("wk-3", 1), "wk-1"))
	env.submit(a, arrayJob("wk-4", 1))
	env.submit(a, dependentJob(arrayJob("wk-5", 1), "wk-4"))
	env.setOldVersion("b", true)
	env.runPasses()
	env.finishTasks("h1", "wk-2/0", "wk-4/0")
	env.runPasses()
	if c := a.Table.Jobs["wk-5"].Counts; c[jobs.Claimed] != 0 || a.Table.Jobs["wk-5"].Phase != jobs.Open {
		t.Fatalf("a job that is stored waiting is claimed beside an old member: %v", c)
	}
	// One that is down is no member, and keeps nobody waiting.
	env.store.Expire(env.controllers["b"].Self.Incarnation)
	delete(env.controllers, "b")
	for range 3 {
		env.stepMembership()
	}
	env.acknowledgeToken("h1", 1)
	env.runPasses()
	env.runPasses()
	if c := a.Table.Jobs["wk-5"].Counts; c[jobs.Claimed] != 1 {
		t.Fatalf("it waits for a node that is down: %v, members %v", c, a.Membership.Nodes)
	}
}

// readProductionRecords reads what the version in production writes; the file was made
// by that version.
func readProductionRecords(t testing.TB) map[string][]byte {
	t.Helper()
	b, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var text map[string]string
	if err := json.Unmarshal(b, &text); err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for k, v := range text {
		if out[k], err = hex.DecodeString(v); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func TestRecordsOfTheProductionVersionAreReadAndRewritten(t *testing.T) {
	data := readProductionRecords(t)
	st, err := peer.DecodeStatus(data["peer status"])
	if err != nil || st.Label != "b" || len(st.Machines) != 1 || st.Machines[0].Name != "host-000001" {
		t.Fatalf("status of a sibling: %+v %v", st, err)
	}
	delete(data, "peer status")
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.store.ValueLimit, env.store.OpsLimit = 2048, 4
	for key, v := range data {
		if key == membership.Key || key == membership.LeaderKey || key == jobs.TeamKey("x") || strings.HasPrefix(key, membership.SessionPrefix) {
			if err := controller.applyRecord(key, v, 0); err != nil {
				t.Errorf("%s: %v", key, err)
			}
			continue
		}
		// Written under its larger limit.
		env.store.Put(key, v)
	}
	env = env.restartAll("a")
	controller = env.controllers["a"]
	controller.Limits.ValueKB, controller.Limits.TxnOps = 2, 4
	for jobID, phase := range map[string]jobs.Phase{"wk-1": jobs.Open, "wk-2": jobs.Cancelled, "wk-3": jobs.Done, "wk-4": jobs.Open, "wk-5": jobs.Open} {
		if j := controller.Table.Jobs[jobID]; j == nil || j.Phase != phase {
			t.Fatalf("%s: %+v", jobID, j)
		}
	}
	if controller.Table.Jobs["wk-1"].Counts != [3]int{30, 70, 0} || len(controller.Inventory.Machines) != 33 {
		t.Fatalf("%v, %d machines", controller.Table.Jobs["wk-1"].Counts, len(controller.Inventory.Machines))
	}
	// Pipelines may name what production took in, also in shared records and done.
	env.submit(controller, dependentJob(arrayJob("wk-10", 1), "wk-3", "wk-5"))
	env.submit(controller, dependentJob(arrayJob("wk-11", 1), "wk-1"))
	// Its jobs can be cancelled, its machines changed, within the lower limits.
	for _, jobID := range []string{"wk-1", "wk-5"} {
		if code, _, _ := sendRequest(controller, "POST", "/work/"+jobID+"/cancel", nil); code != 200 {
			t.Fatalf("cancellation of %s: %d", jobID, code)
		}
	}
	env.checkStates("cancelled", map[string]string{"wk-1": wire.StateCancelled, "wk-10": wire.StateCancelled, "wk-11": wire.StateCancelled})
	var changes []inventory.RecordChange
	for _, machineName := range []string{"host-000000", "host-000017", "host-000031", "host-000099"} {
		was := controller.Inventory.Machines[machineName]
		is := was
		is.Phase, is.Reason = inventory.Draining, "a long reason for which there may be no room in the record"
		changes = append(changes, inventory.RecordChange{Machine: machineName, Before: &was, After: &is})
	}
	controller.leaderLoop.StoreMachines(context.Background(), changes)
	env.refreshAll()
	for _, c := range changes {
		if controller.Inventory.Machines[c.Machine].Phase != inventory.Draining {
			t.Errorf("%s is %s", c.Machine, controller.Inventory.Machines[c.Machine].Phase)
		}
	}
	if len(controller.Inventory.Machines) != 33 || len(controller.Inventory.OversizeGroups(controller.MaxGroupBytes(), 9)) != 0 {
		t.Fatalf("%d machines, too large: %v", len(controller.Inventory.Machines), controller.Inventory.OversizeGroups(controller.MaxGroupBytes(), 9))
	}
	if env.store.Refused != 0 {
		t.Fatalf("%d transactions beyond the limits", env.store.Refused)
	}
}

// The shapes in which production reads the records.
type (
	oldJobSpec struct {
		Ref    string `cbor:"ref"`
		Crew   string `cbor:"crew"`
		Shards int    `cbor:"shards"`
	}
	oldJobRecord struct {
		Phase  string      `cbor:"p"`
		At     int64       `cbor:"at"`
		Tasks  int         `cbor:"n"`
		Chunk  int         `cbor:"cs"`
		Serial uint64      `cbor:"s,omitempty"`
		Work   *oldJobSpec `cbor:"w,omitempty"`
	}
	oldNode struct {
		Label       string `cbor:"l"`
		Incarnation uint64 `cbor:"i"`
	}
)

func TestThePreviousVersionReadsRecordsOfThisOne(t *testing.T) {
	spec := dependentJob(arrayJob("wk-2", 3), "wk-1")
	var r oldJobRecord
	if err := wire.Unmarshal(wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, AcceptedAtMs: 5, Tasks: 3, ChunkSize: 64, Spec: &spec, EndedAtMs: 9, CancelledWith: "wk-1"}), &r); err != nil {
		t.Fatal(err)
	}
	// Neither open nor final: production answers "queued" and never places it.
	if r.Phase == "open" || r.Phase == "done" || r.Phase == "cancelled" || r.Tasks != 3 || r.Chunk != 64 || r.Work.Ref != "wk-2" {
		t.Fatalf("%+v", r)
	}
	var s oldNode
	if err := wire.Unmarshal(wire.MustMarshal(membership.Session{Node: membership.Node{Label: "a", Incarnation: 7}, Format: 1, ProgramVersion: "x"}), &s); err != nil || s != (oldNode{"a", 7}) {
		t.Fatalf("%+v %v", s, err)
	}
}

// A group that is cut stays one picture at every revision, stopped anywhere, and
// an old leader that writes it large again costs another cut.
func TestOversizeMachineGroupsAreSplitAcrossRestarts(t *testing.T) {
	data := readProductionRecords(t)
	env := newTestEnv(t, "a")
	for i := range 3 {
		var g inventory.Group
		if err := wire.Unmarshal(data["w/fleet/000000"], &g); err != nil {
			t.Fatal(err)
		}
		named := inventory.Group{Machines: map[string]inventory.Record{}}
		for machineName, r := range g.Machines {
			named.Machines[strings.Replace(machineName, "host-0", fmt.Sprintf("host-%d", i+1), 1)] = r
		}
		env.store.Put(inventory.GroupKey(i), wire.MustMarshal(named))
	}
	env.store.ValueLimit, env.store.OpsLimit = 2048, 4
	machines := 96
	for step := range 8 {
		env = env.restartAll("a") // the process that cut the last one is gone
		controller := env.controllers["a"]
		controller.Limits.ValueKB, controller.Limits.TxnOps = 2, 4
		if len(controller.Inventory.Machines) != machines {
			t.Fatalf("step %d: %d machines", step, len(controller.Inventory.Machines))
		}
		controller.leaderLoop.StoreMachines(context.Background(), nil, controller.Inventory.OversizeGroups(controller.MaxGroupBytes(), 1)...)
		if step == 1 {
			// An old leader fills up a group that was cut.
			big := inventory.Group{Machines: map[string]inventory.Record{}}
			for machineName, r := range controller.Inventory.Machines {
				if controller.Inventory.KeyOf(machineName) == inventory.GroupKey(0) {
					big.Machines[machineName] = r
				}
			}
			for ; len(big.Machines) < 32; machines++ {
				big.Machines[fmt.Sprintf("host-9%05d", machines)] = inventory.Record{MachineType: "a-large-type", Zone: "a-far-away-zone", Role: "batch", Phase: inventory.Active, Reason: "joins"}
			}
			env.store.Put(inventory.GroupKey(0), wire.MustMarshal(big))
		}
	}
	controller := env.controllers["a"]
	if left := controller.Inventory.OversizeGroups(controller.MaxGroupBytes(), 9); len(left) != 0 || env.store.Refused != 0 {
		t.Fatalf("too large: %v, refused %d", left, env.store.Refused)
	}
	seen := map[string]string{}
	for key, e := range env.store.Keys {
		var g inventory.Group
		if !strings.HasPrefix(key, inventory.GroupPrefix) {
			continue
		}
		if err := wire.Unmarshal(e.Value, &g); err != nil {
			t.Fatal(err)
		}
		for machineName := range g.Machines {
			if seen[machineName] != "" {
				t.Errorf("%s stands in %s and %s", machineName, seen[machineName], key)
			}
			seen[machineName] = key
		}
	}
	if len(seen) != machines {
		t.Fatalf("%d machines of %d", len(seen), machines)
	}
}

func TestAnnouncedStoreLimitsLowerThePresentOnes(t *testing.T) {
	s := settings("a", []string{"a", "b", "c"})
	s.Params.State.Next = &config.Limits{WriteRPS: 18, ValueKB: 2, TxnOps: 5}
	if l := s.StateLimits(); l.RPS != 1000 || l.WriteRPS != 18 || l.ValueKB != 2 || l.TxnOps != 5 {
		t.Fatalf("%+v", l)
	}
	s.Params.State.Next = &config.Limits{ValueKB: 16}
	if l := s.StateLimits(); l.ValueKB != 4 || l.TxnOps != 12 {
		t.Fatalf("%+v", l)
	}
}

// Nodes are renewed one after the other while work runs; the leader's process
// dies amid the election that its own renewal causes, and comes back old.
func TestARollingUpgradeWithACrashDuringAnElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	env := newTestEnv(t, labels...)
	for _, l := range labels {
		env.setOldVersion(l, true)
	}
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], serviceJob("wk-1", 2))
	env.runPasses()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	restart := func(label string, old bool) {
		env.store.Expire(env.controllers[label].Self.Incarnation)
		env.startController(label, labels)
		env.stepMembership() // amid the election: its session is stored, nothing more is certain
		if old {
			env.setOldVersion(label, true)
		}
	}
	taken := func(want bool) {
		t.Helper()
		for label, controller := range env.controllers {
			controller.Lock()
			got := controller.DependenciesSupported()
			controller.Unlock()
			if got != want {
				t.Fatalf("%s: pipelines %v, want %v", label, got, want)
			}
		}
	}
	lead := env.leader().Self.Label
	restart(lead, false)
	restart(lead, true) // killed again before it is a member, and old
	for _, l := range labels {
		for range 4 {
			env.stepMembership()
		}
		taken(false)
		restart(l, false)
		for range 4 {
			env.stepMembership()
		}
		env.acknowledgeToken("h1", 1, running...)
		env.runPasses()
		if controller := env.controllers[l]; controller.claimsOn("h1") != 2 || controller.Table.Jobs["wk-1"].Task(0).Attempt != 1 {
			t.Fatalf("%s is renewed: %d claims, attempt %d", l, controller.claimsOn("h1"), controller.Table.Jobs["wk-1"].Task(0).Attempt)
		}
	}
	taken(true)
	code, body := env.controllers["a"].receiveHeartbeat(env.heartbeat("h1", 1, env.controllers["a"].fencingToken(), running...))
	if o, ok := body.(wire.HeartbeatResponse); code == 200 && (!ok || len(o.Commands) != 0) {
		t.Fatalf("healthy tasks are told %v", body)
	}
	env.submit(env.controllers["b"], arrayJob("wk-2", 1))
	env.submit(env.controllers["c"], dependentJob(arrayJob("wk-3", 1), "wk-2"))
}

// Hundreds of pipelines cost no change but those of their jobs: none to
// release a step, one to cancel all that needs a job.
func TestDependencyGraphsCostNoWritesOfTheirOwn(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const pipelines = 300
	jobID := func(p, step int) string { return fmt.Sprintf("wk-%d", p*10+step) }
	for p := range pipelines {
		for step, dependsOn := range [][]int{{}, {0}, {0}, {1, 2}} {
			spec := arrayJob(jobID(p, step), 1)
			for _, a := range dependsOn {
				spec.DependsOn = append(spec.DependsOn, jobID(p, a))
			}
			r := jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 64, Spec: &spec}
			if step > 0 {
				r.Phase = jobs.Waiting
			}
			env.store.Put(jobs.JobKey(jobID(p, step)), wire.MustMarshal(r))
		}
	}
	env.refreshAll()
	if len(controller.Table.Open) != pipelines || len(controller.Table.Waiting) != 3*pipelines {
		t.Fatalf("%d open, %d wait", len(controller.Table.Open), len(controller.Table.Waiting))
	}
	before := env.store.Revision
	for p := range pipelines {
		env.store.Put(jobs.JobKey(jobID(p, 0)), wire.MustMarshal(jobs.Record{Phase: jobs.Done, Tasks: 1, ChunkSize: 64, EndedAtMs: 1}))
	}
	env.refreshAll()
	env.runPass(controller)
	if len(controller.Table.Open) != 2*pipelines || env.store.Revision != before+pipelines {
		t.Fatalf("%d open, %d changes", len(controller.Table.Open), env.store.Revision-before-pipelines)
	}
	before = env.store.Revision
	if code, _, _ := sendRequest(controller, "POST", "/work/"+jobID(7, 1)+"/cancel", nil); code != 200 || env.store.Revision != before+1 {
		t.Fatalf("a cancellation: %d, %d changes", code, env.store.Revision-before)
	}
	if controller.Table.Jobs[jobID(7, 3)].Phase != jobs.Cancelled || controller.Table.Jobs[jobID(7, 2)].Phase != jobs.Open {
		t.Fatal("it reaches what it should not, or does not reach what it should")
	}
}
