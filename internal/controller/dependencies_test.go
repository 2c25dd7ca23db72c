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

func after(wk wire.JobSpec, dependsOn ...string) wire.JobSpec {
	wk.DependsOn = dependsOn
	return wk
}

// finish lets the tasks of a job that are claimed on a machine exit with
// "done", and stores their ends.
func (w *world) finish(host string, tasks ...string) {
	w.t.Helper()
	var list []wire.TaskStatus
	for _, s := range tasks {
		list = append(list, wire.TaskStatus{Task: s, Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone})
	}
	w.prove(host, 1, list...)
	w.clk.add(2 * time.Second)
	w.passAll()
}

func (w *world) phases(what string, want map[string]string) {
	w.t.Helper()
	w.sync()
	for label, n := range w.nodes {
		for jobID, phase := range want {
			if code, st, _ := ask(n, "GET", "/work/"+jobID, nil); code != 200 || st.State != phase {
				w.t.Errorf("%s: %s says %d %s of %s, want %s", what, label, code, st.State, jobID, phase)
			}
		}
	}
}

func TestAJobStartsOnceAllThatItAwaitsIsStoredDone(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	a, b := w.nodes["a"], w.nodes["b"]
	w.submit(a, work("wk-1", 1))
	w.submit(b, work("wk-2", 1))
	w.submit(a, after(work("wk-3", 2), "wk-1", "wk-2", "wk-1"))
	w.passAll()
	for _, n := range w.nodes {
		if c := n.Table.Jobs["wk-3"].Counts; c[jobs.Claimed] != 0 || n.Table.ResourcesByTeam["x"].GPUs != 2 || n.scheduler.Unplaced["wk-3"] != 0 {
			t.Fatalf("a waiting job has claims %v, its team holds %v, unmet %d", c, n.Table.ResourcesByTeam["x"], n.scheduler.Unplaced["wk-3"])
		}
		if len(n.Table.Jobs["wk-3"].Record.Spec.DependsOn) != 2 {
			t.Fatal("repeated names count twice")
		}
	}
	w.phases("waiting", map[string]string{"wk-3": wire.StateQueued})
	w.finish("h1", "wk-1/0")
	w.phases("half done", map[string]string{"wk-1": wire.StateDone, "wk-3": wire.StateQueued})
	if a.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 0 {
		t.Fatal("it starts before all is done")
	}
	_, _, c := ask(a, "GET", "/status?job=wk-3", nil)
	if body := string(c.Response.Body()); !strings.Contains(body, "awaits wk-2\n") {
		t.Fatalf("status says %q", body)
	}
	// A node that starts now knows as much, and the time of release is kept.
	end := w.clk.now()
	w.finish("h1", "wk-2/0")
	fresh := w.start("c", []string{"a", "b", "c"})
	if j := fresh.Table.Jobs["wk-3"]; j.Phase != jobs.Open || j.ReadyAtMs < end.UnixMilli() {
		t.Fatalf("after a restart: %s, ready %d, ended %d", j.Phase, j.ReadyAtMs, end.UnixMilli())
	}
	delete(w.nodes, "c")
	w.passAll()
	if a.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 2 {
		t.Fatal("it does not start")
	}
	w.finish("h1", "wk-3/0", "wk-3/1")
	w.phases("over", map[string]string{"wk-3": wire.StateDone})
}

func TestACancellationIsTheSameAtEveryNodeAtOnce(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.nodes["a"], w.nodes["b"]
	w.submit(a, work("wk-1", 1))
	w.submit(a, after(work("wk-2", 1), "wk-1"))
	w.submit(b, after(work("wk-3", 1), "wk-2"))
	w.submit(b, work("wk-4", 1))
	w.submit(b, after(work("wk-5", 1), "wk-4"))
	writes := w.st.Revision
	if code, st, _ := ask(a, "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %s", code, st.State)
	}
	if w.st.Revision != writes+1 {
		t.Fatalf("%d changes", w.st.Revision-writes)
	}
	// A submission that races with it, at a node that has not read it yet.
	if code, _, _ := ask(b, "POST", "/work", after(work("wk-6", 1), "wk-3")); code != 201 {
		t.Fatalf("a submission after the cancellation: %d", code)
	}
	all := map[string]string{"wk-1": wire.StateCancelled, "wk-2": wire.StateCancelled, "wk-3": wire.StateCancelled,
		"wk-6": wire.StateCancelled, "wk-4": wire.StateQueued, "wk-5": wire.StateQueued}
	w.phases("at once", all)
	if code, st, _ := ask(b, "POST", "/work/wk-3/cancel", nil); code != 200 || st.State != wire.StateCancelled {
		t.Fatalf("cancelled again: %d %s", code, st.State)
	}
	// Later it is stored, so that intake records go and old versions see it.
	w.passAll()
	w.passAll()
	for _, jobID := range []string{"wk-2", "wk-3", "wk-6"} {
		if r := a.job(jobID); r.Phase != jobs.Cancelled || r.CancelledWith == "" {
			t.Errorf("%s is stored %s", jobID, r.Phase)
		}
	}
	w.phases("stored", all)
	// The end of a dependant by its own cancellation leaves the rest alone.
	if code, _, _ := ask(a, "POST", "/work/wk-5/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	w.phases("a dependant", map[string]string{"wk-4": wire.StateQueued, "wk-5": wire.StateCancelled})
}

// The end of a job and its cancellation meet in the store: one of them wins,
// and what depends on the job follows the one that did.
func TestACancellationThatComesAfterTheEndLetsTheNextGoOn(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	w.submit(w.nodes["a"], work("wk-1", 1))
	w.submit(w.nodes["a"], after(work("wk-2", 1), "wk-1"))
	w.passAll()
	w.finish("h1", "wk-1/0")
	if code, st, _ := ask(w.nodes["b"], "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != wire.StateDone {
		t.Fatalf("cancellation of a done job: %d %s", code, st.State)
	}
	w.passAll()
	w.phases("after it", map[string]string{"wk-2": wire.StateRunning})
}

func TestSubmissionsThatNameOthers(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.nodes["a"], w.nodes["b"]
	w.submit(a, service("wk-9", 1))
	// Accepted a moment ago at the other node, which this one has not read.
	if code, _, _ := ask(b, "POST", "/work", work("wk-1", 1)); code != 201 {
		t.Fatal(code)
	}
	if code, _, _ := ask(a, "POST", "/work", after(work("wk-2", 1), "wk-1")); code != 201 {
		t.Fatalf("a job accepted a moment ago: %d", code)
	}
	long := after(work("wk-3", 1))
	for range 400 {
		long.DependsOn = append(long.DependsOn, "wk-1", "wk-2", "wk-000000000000000001")
	}
	for what, c := range map[string]struct {
		wk   wire.JobSpec
		want int
	}{
		"itself":         {after(work("wk-5", 1), "wk-5"), 422},
		"a service":      {after(work("wk-5", 1), "wk-9"), 422},
		"never accepted": {after(work("wk-5", 1), "wk-1", "wk-777"), 422},
		"malformed name": {after(work("wk-5", 1), "seven"), 422},
		"too many":       {long, 422},
		"known before":   {after(work("wk-1", 1), "wk-777"), 200},
	} {
		if code, _, _ := ask(a, "POST", "/work", c.wk); code != c.want {
			t.Errorf("%s: %d, want %d", what, code, c.want)
		}
	}
	var fields map[string]any
	if err := wire.Unmarshal(wire.MustMarshal(work("wk-6", 1)), &fields); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []any{"wk-1", 7, []any{7}, map[string]any{"wk-1": true}} {
		fields["awaits"] = bad
		if code, _, _ := ask(a, "POST", "/work", wire.MustMarshal(fields)); code != 400 {
			t.Errorf("awaits %v: %d", bad, code)
		}
	}
	fields["awaits"] = nil
	if code, _, _ := ask(a, "POST", "/work", wire.MustMarshal(fields)); code != 201 || a.job("wk-6").Phase != jobs.Open {
		t.Errorf("awaits null: %d", code)
	}
	// Without a fresh read nobody knows: never a 422.
	w.st.Down = true
	w.clk.add(5 * time.Second)
	code, _, c := ask(a, "POST", "/work", after(work("wk-7", 1), "wk-777"))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("without the state service: %d", code)
	}
}

// old takes a node for one of a version that tells no forms.
func (w *world) old(label string, old bool) {
	w.t.Helper()
	n := w.nodes[label]
	s := any(n.Self)
	if !old {
		s = membership.Session{Node: n.Self, Format: membership.CurrentFormat, ProgramVersion: "x"}
	}
	key := membership.SessionKey(label)
	if _, err := w.st.CompareAndSwap(context.Background(), store.ClassLease, nil, []wire.Operation{{Put: key, Value: wire.MustMarshal(s), LeaseID: n.Self.Incarnation}}); err != nil {
		w.t.Fatal(err)
	}
	w.sync()
}

func TestPipelinesWaitForOldMembers(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	a := w.nodes["a"]
	token := a.membershipToken()
	w.old("b", true)
	w.settle()
	if a.membershipToken() != token {
		t.Fatal("what a session tells of its version changes the membership")
	}
	w.submit(a, work("wk-1", 1))
	code, _, c := ask(a, "POST", "/work", after(work("wk-2", 1), "wk-1"))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("in a mix: %d", code)
	}
	w.old("b", false)
	w.submit(a, after(work("wk-2", 1), "wk-1"))
	w.passAll()
	w.finish("h1", "wk-1/0")
	// An old one is back: it would stop the task on its machines.
	j := a.Table.Jobs["wk-2"]
	if j.Counts[jobs.Claimed] != 1 {
		t.Fatalf("%v", j.Counts)
	}
	w.submit(a, after(work("wk-3", 1), "wk-1"))
	w.submit(a, work("wk-4", 1))
	w.submit(a, after(work("wk-5", 1), "wk-4"))
	w.old("b", true)
	w.passAll()
	w.finish("h1", "wk-2/0", "wk-4/0")
	w.passAll()
	if c := a.Table.Jobs["wk-5"].Counts; c[jobs.Claimed] != 0 || a.Table.Jobs["wk-5"].Phase != jobs.Open {
		t.Fatalf("a job that is stored waiting is claimed beside an old member: %v", c)
	}
	// One that is down is no member, and keeps nobody waiting.
	w.st.Expire(w.nodes["b"].Self.Incarnation)
	delete(w.nodes, "b")
	for range 3 {
		w.settle()
	}
	w.prove("h1", 1)
	w.passAll()
	w.passAll()
	if c := a.Table.Jobs["wk-5"].Counts; c[jobs.Claimed] != 1 {
		t.Fatalf("it waits for a node that is down: %v, members %v", c, a.Membership.Nodes)
	}
}

// production reads what the version in production writes; the file was made
// by that version.
func production(t testing.TB) map[string][]byte {
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

func TestRecordsOfProductionAreReadAndRewritten(t *testing.T) {
	data := production(t)
	st, err := peer.DecodeStatus(data["peer status"])
	if err != nil || st.Label != "b" || len(st.Machines) != 1 || st.Machines[0].Name != "host-000001" {
		t.Fatalf("status of a sibling: %+v %v", st, err)
	}
	delete(data, "peer status")
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.st.ValueLimit, w.st.OpsLimit = 2048, 4
	for key, v := range data {
		if key == membership.Key || key == membership.LeaderKey || key == jobs.TeamKey("x") || strings.HasPrefix(key, membership.SessionPrefix) {
			if err := n.applyRecord(key, v, 0); err != nil {
				t.Errorf("%s: %v", key, err)
			}
			continue
		}
		// Written under its larger limit.
		w.st.Put(key, v)
	}
	w = w.again("a")
	n = w.nodes["a"]
	n.Limits.ValueKB, n.Limits.TxnOps = 2, 4
	for jobID, phase := range map[string]jobs.Phase{"wk-1": jobs.Open, "wk-2": jobs.Cancelled, "wk-3": jobs.Done, "wk-4": jobs.Open, "wk-5": jobs.Open} {
		if j := n.Table.Jobs[jobID]; j == nil || j.Phase != phase {
			t.Fatalf("%s: %+v", jobID, j)
		}
	}
	if n.Table.Jobs["wk-1"].Counts != [3]int{30, 70, 0} || len(n.Inventory.Machines) != 33 {
		t.Fatalf("%v, %d machines", n.Table.Jobs["wk-1"].Counts, len(n.Inventory.Machines))
	}
	// Pipelines may name what production took in, also in shared records and done.
	w.submit(n, after(work("wk-10", 1), "wk-3", "wk-5"))
	w.submit(n, after(work("wk-11", 1), "wk-1"))
	// Its jobs can be cancelled, its machines changed, within the lower limits.
	for _, jobID := range []string{"wk-1", "wk-5"} {
		if code, _, _ := ask(n, "POST", "/work/"+jobID+"/cancel", nil); code != 200 {
			t.Fatalf("cancellation of %s: %d", jobID, code)
		}
	}
	w.phases("cancelled", map[string]string{"wk-1": wire.StateCancelled, "wk-10": wire.StateCancelled, "wk-11": wire.StateCancelled})
	var changes []inventory.RecordChange
	for _, host := range []string{"host-000000", "host-000017", "host-000031", "host-000099"} {
		was := n.Inventory.Machines[host]
		is := was
		is.Phase, is.Reason = inventory.Draining, "a long reason for which there may be no room in the record"
		changes = append(changes, inventory.RecordChange{Machine: host, Before: &was, After: &is})
	}
	n.leaderLoop.StoreMachines(context.Background(), changes)
	w.sync()
	for _, c := range changes {
		if n.Inventory.Machines[c.Machine].Phase != inventory.Draining {
			t.Errorf("%s is %s", c.Machine, n.Inventory.Machines[c.Machine].Phase)
		}
	}
	if len(n.Inventory.Machines) != 33 || len(n.Inventory.OversizeGroups(n.MaxGroupBytes(), 9)) != 0 {
		t.Fatalf("%d machines, too large: %v", len(n.Inventory.Machines), n.Inventory.OversizeGroups(n.MaxGroupBytes(), 9))
	}
	if w.st.Refused != 0 {
		t.Fatalf("%d transactions beyond the limits", w.st.Refused)
	}
}

// The shapes in which production reads the records.
type (
	oldWork struct {
		Ref    string `cbor:"ref"`
		Crew   string `cbor:"crew"`
		Shards int    `cbor:"shards"`
	}
	oldRecord struct {
		Phase  string   `cbor:"p"`
		At     int64    `cbor:"at"`
		Tasks  int      `cbor:"n"`
		Chunk  int      `cbor:"cs"`
		Serial uint64   `cbor:"s,omitempty"`
		Work   *oldWork `cbor:"w,omitempty"`
	}
	oldNode struct {
		Label       string `cbor:"l"`
		Incarnation uint64 `cbor:"i"`
	}
)

func TestOldShapesReadWhatIsWrittenNow(t *testing.T) {
	wk := after(work("wk-2", 3), "wk-1")
	var r oldRecord
	if err := wire.Unmarshal(wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, AcceptedAtMs: 5, Tasks: 3, ChunkSize: 64, Spec: &wk, EndedAtMs: 9, CancelledWith: "wk-1"}), &r); err != nil {
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
func TestGroupsAreCutWithCrashesBetween(t *testing.T) {
	data := production(t)
	w := newWorld(t, "a")
	for i := range 3 {
		var g inventory.Group
		if err := wire.Unmarshal(data["w/fleet/000000"], &g); err != nil {
			t.Fatal(err)
		}
		named := inventory.Group{Machines: map[string]inventory.Record{}}
		for host, r := range g.Machines {
			named.Machines[strings.Replace(host, "host-0", fmt.Sprintf("host-%d", i+1), 1)] = r
		}
		w.st.Put(inventory.GroupKey(i), wire.MustMarshal(named))
	}
	w.st.ValueLimit, w.st.OpsLimit = 2048, 4
	machines := 96
	for step := range 8 {
		w = w.again("a") // the process that cut the last one is gone
		n := w.nodes["a"]
		n.Limits.ValueKB, n.Limits.TxnOps = 2, 4
		if len(n.Inventory.Machines) != machines {
			t.Fatalf("step %d: %d machines", step, len(n.Inventory.Machines))
		}
		n.leaderLoop.StoreMachines(context.Background(), nil, n.Inventory.OversizeGroups(n.MaxGroupBytes(), 1)...)
		if step == 1 {
			// An old leader fills up a group that was cut.
			big := inventory.Group{Machines: map[string]inventory.Record{}}
			for host, r := range n.Inventory.Machines {
				if n.Inventory.KeyOf(host) == inventory.GroupKey(0) {
					big.Machines[host] = r
				}
			}
			for ; len(big.Machines) < 32; machines++ {
				big.Machines[fmt.Sprintf("host-9%05d", machines)] = inventory.Record{MachineType: "a-large-type", Zone: "a-far-away-zone", Role: "batch", Phase: inventory.Active, Reason: "joins"}
			}
			w.st.Put(inventory.GroupKey(0), wire.MustMarshal(big))
		}
	}
	n := w.nodes["a"]
	if left := n.Inventory.OversizeGroups(n.MaxGroupBytes(), 9); len(left) != 0 || w.st.Refused != 0 {
		t.Fatalf("too large: %v, refused %d", left, w.st.Refused)
	}
	seen := map[string]string{}
	for key, e := range w.st.Keys {
		var g inventory.Group
		if !strings.HasPrefix(key, inventory.GroupPrefix) {
			continue
		}
		if err := wire.Unmarshal(e.Value, &g); err != nil {
			t.Fatal(err)
		}
		for host := range g.Machines {
			if seen[host] != "" {
				t.Errorf("%s stands in %s and %s", host, seen[host], key)
			}
			seen[host] = key
		}
	}
	if len(seen) != machines {
		t.Fatalf("%d machines of %d", len(seen), machines)
	}
}

func TestLowerLimits(t *testing.T) {
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
func TestARollWithACrashAmidAnElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	w := newWorld(t, labels...)
	for _, l := range labels {
		w.old(l, true)
	}
	w.addHost("h1", "service")
	w.prove("h1", 1)
	w.submit(w.nodes["a"], service("wk-1", 2))
	w.passAll()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	restart := func(label string, old bool) {
		w.st.Expire(w.nodes[label].Self.Incarnation)
		w.start(label, labels)
		w.settle() // amid the election: its session is stored, nothing more is certain
		if old {
			w.old(label, true)
		}
	}
	taken := func(want bool) {
		t.Helper()
		for label, n := range w.nodes {
			n.Lock()
			got := n.DependenciesSupported()
			n.Unlock()
			if got != want {
				t.Fatalf("%s: pipelines %v, want %v", label, got, want)
			}
		}
	}
	lead := w.leader().Self.Label
	restart(lead, false)
	restart(lead, true) // killed again before it is a member, and old
	for _, l := range labels {
		for range 4 {
			w.settle()
		}
		taken(false)
		restart(l, false)
		for range 4 {
			w.settle()
		}
		w.prove("h1", 1, running...)
		w.passAll()
		if n := w.nodes[l]; n.claimsOn("h1") != 2 || n.Table.Jobs["wk-1"].Task(0).Attempt != 1 {
			t.Fatalf("%s is renewed: %d claims, attempt %d", l, n.claimsOn("h1"), n.Table.Jobs["wk-1"].Task(0).Attempt)
		}
	}
	taken(true)
	code, body := w.nodes["a"].take(w.report("h1", 1, w.nodes["a"].membershipToken(), running...))
	if o, ok := body.(wire.HeartbeatResponse); code == 200 && (!ok || len(o.Commands) != 0) {
		t.Fatalf("healthy tasks are told %v", body)
	}
	w.submit(w.nodes["b"], work("wk-2", 1))
	w.submit(w.nodes["c"], after(work("wk-3", 1), "wk-2"))
}

// Hundreds of pipelines cost no change but those of their jobs: none to
// release a step, one to cancel all that needs a job.
func TestHundredsOfPipelinesCostNoChangesOfTheirOwn(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	const pipelines = 300
	jobID := func(p, step int) string { return fmt.Sprintf("wk-%d", p*10+step) }
	for p := range pipelines {
		for step, dependsOn := range [][]int{{}, {0}, {0}, {1, 2}} {
			wk := work(jobID(p, step), 1)
			for _, a := range dependsOn {
				wk.DependsOn = append(wk.DependsOn, jobID(p, a))
			}
			r := jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 64, Spec: &wk}
			if step > 0 {
				r.Phase = jobs.Waiting
			}
			w.st.Put(jobs.JobKey(jobID(p, step)), wire.MustMarshal(r))
		}
	}
	w.sync()
	if len(n.Table.Open) != pipelines || len(n.Table.Waiting) != 3*pipelines {
		t.Fatalf("%d open, %d wait", len(n.Table.Open), len(n.Table.Waiting))
	}
	before := w.st.Revision
	for p := range pipelines {
		w.st.Put(jobs.JobKey(jobID(p, 0)), wire.MustMarshal(jobs.Record{Phase: jobs.Done, Tasks: 1, ChunkSize: 64, EndedAtMs: 1}))
	}
	w.sync()
	w.pass(n)
	if len(n.Table.Open) != 2*pipelines || w.st.Revision != before+pipelines {
		t.Fatalf("%d open, %d changes", len(n.Table.Open), w.st.Revision-before-pipelines)
	}
	before = w.st.Revision
	if code, _, _ := ask(n, "POST", "/work/"+jobID(7, 1)+"/cancel", nil); code != 200 || w.st.Revision != before+1 {
		t.Fatalf("a cancellation: %d, %d changes", code, w.st.Revision-before)
	}
	if n.Table.Jobs[jobID(7, 3)].Phase != jobs.Cancelled || n.Table.Jobs[jobID(7, 2)].Phase != jobs.Open {
		t.Fatal("it reaches what it should not, or does not reach what it should")
	}
}
