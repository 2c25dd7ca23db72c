package controller

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

func placeRole(s string) placement.Role { return placement.Role(s) }

func TestUsersGetTheProtocolsAnswers(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	good := work("wk-1", 2)
	bad := good
	bad.Team = "nobody"
	huge := good
	huge.ID, huge.CPUs = "wk-2", 99
	long := good
	long.ID = "wk-5"
	for range 32 {
		long.MachineTypes = append(long.MachineTypes, "g"+strings.Repeat("x", 99))
	}
	long.Class, long.Image = strings.Repeat("c", 200), strings.Repeat("b", 200)
	negative := good
	negative.ID, negative.GPUs = "wk-3", -1
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"new job", "POST", "/work", good, 201},
		{"known job", "POST", "/work", good, 200},
		{"known job, malformed now", "POST", "/work", map[string]any{"ref": "wk-1"}, 200},
		{"known job, impossible now", "POST", "/work", bad, 200},
		{"not CBOR", "POST", "/work", []byte("{"), 400},
		{"not a map", "POST", "/work", []int{1}, 400},
		{"a field missing", "POST", "/work", map[string]any{"ref": "wk-9"}, 400},
		{"out of range", "POST", "/work", negative, 400},
		{"too large to store", "POST", "/work", long, 422},
		{"fits no machine", "POST", "/work", huge, 422},
		{"more than the team's limit", "POST", "/work", service("wk-4", 9), 422},
		{"poll", "GET", "/work/wk-1", nil, 200},
		{"unknown job", "GET", "/work/wk-77", nil, 404},
		{"no job id", "GET", "/work/x", nil, 404},
		{"cancel unknown", "POST", "/work/wk-77/cancel", nil, 404},
		{"unknown path", "GET", "/nothing", nil, 404},
		{"wrong method", "GET", "/work", nil, 405},
		{"health", "GET", "/up", nil, 200},
	} {
		if code, _, _ := ask(n, c.method, c.path, c.body); code != c.want {
			t.Errorf("%s: %d, want %d", c.name, code, c.want)
		}
	}
}

func TestNothingIsAcceptedBeforeTheTypesAreKnown(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	n.MachineTypeList = nil
	code, _, c := ask(n, "POST", "/work", work("wk-1", 1))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d without machine types", code)
	}
}

func TestALostAnswerIsSettledByReadingAgain(t *testing.T) {
	w := newWorld(t, "a")
	w.st.Lose = 1
	if code, st, _ := ask(w.nodes["a"], "POST", "/work", work("wk-1", 1)); code != 200 || st.State != wire.StateQueued {
		t.Fatalf("submission whose answer was lost: %d %+v", code, st)
	}
	w.st.Lose = 1
	if code, st, _ := ask(w.nodes["a"], "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != wire.StateCancelled {
		t.Fatalf("cancellation whose answer was lost: %d %+v", code, st)
	}
}

func TestWithoutTheStateServiceOnlyFinalStatesAreTold(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.submit(n, work("wk-1", 1))
	w.submit(n, work("wk-2", 1))
	if code, _, _ := ask(n, "POST", "/work/wk-2/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	w.st.Down = true
	w.clk.add(time.Minute)
	for path, want := range map[string]int{"/work/wk-1": 503, "/work/wk-2": 200, "/work/wk-99": 503, "/up": 200} {
		if code, _, _ := ask(n, "GET", path, nil); code != want {
			t.Errorf("GET %s: %d, want %d", path, code, want)
		}
	}
	if code, _, c := ask(n, "POST", "/work", work("wk-3", 1)); code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("a submission during an outage: %d", code)
	}
}

func TestAFullIntakeRefusesAtOnce(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	for range cap(n.api.SubmissionSlots) {
		n.api.SubmissionSlots <- struct{}{}
	}
	code, _, c := ask(n, "POST", "/work", work("wk-1", 1))
	if code != 429 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d from a full intake", code)
	}
	if code, _, _ := ask(n, "GET", "/work/wk-1", nil); code != 404 {
		t.Fatalf("a poll beside a full intake: %d", code)
	}
}

func TestATaskRunsFromItsStoredClaimToDone(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "batch")
	b := n.membershipToken()
	n.take(w.report("h1", 1, b))
	w.submit(n, work("wk-1", 1))
	_, body := n.take(w.report("h1", 1, b))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders before a claim is stored: %v", o)
	}
	w.passAll()
	_, body = n.take(w.report("h1", 1, b))
	if o := commandsOf(t, 200, body); len(o) != 1 || o[0].Verb != wire.VerbStart || o[0].Attempt != 1 {
		t.Fatalf("orders for a stored claim: %v", o)
	}
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
	_, body = n.take(w.report("h1", 1, b, exited))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders before the release is stored: %v", o)
	}
	if _, st, _ := ask(n, "GET", "/work/wk-1", nil); st.State == wire.StateDone {
		t.Fatal("called done before it is stored")
	}
	w.passAll()
	if _, st, _ := ask(n, "GET", "/work/wk-1", nil); st.State != wire.StateDone || st.Done != 1 {
		t.Fatalf("after the release: %+v", st)
	}
	// Direct calls of the pass were not answered: a start may be under way.
	n.Lock()
	n.Workers.ByMachine["h1"].StartsAnswered([]worker.Attempt{{ID: jobs.TaskID{Job: "wk-1"}, Number: 1}}, b, 1, 1)
	n.Unlock()
	_, body = n.take(w.report("h1", 1, b, exited))
	if o := commandsOf(t, 200, body); len(o) != 1 || o[0].Verb != wire.VerbReap {
		t.Fatalf("after the release: %v", o)
	}
	if rec := n.job("wk-1"); rec.Phase != jobs.Done || rec.Spec != nil {
		t.Fatalf("final record: %+v", rec)
	}
}

func TestOnlyTheOwnerAnswersAWorker(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	owner, other := w.owner("h1")
	code, body := other.take(w.report("h1", 1, 0))
	if r, ok := body.(wire.Redirect); code != 421 || !ok || r.Node != owner.Self.Label {
		t.Fatalf("another node answered %d %v", code, body)
	}
	if code, _ := owner.take(w.report("h1", 1, owner.membershipToken()+1)); code == 200 {
		t.Fatal("200 to a worker that has seen a higher token")
	}
	if code, _ := owner.take(w.report("h1", 1, 0)); code != 200 {
		t.Fatalf("the owner answered %d", code)
	}
}

func TestANodesDeathMovesItsMachinesAndRaisesTheBaton(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	owner, other := w.owner("h1")
	old := owner.membershipToken()
	w.st.Expire(owner.Self.Incarnation)
	delete(w.nodes, owner.Self.Label)
	for range 4 {
		w.settle()
	}
	if other.membershipToken() <= old {
		t.Fatalf("token %d after %d", other.membershipToken(), old)
	}
	if code, _ := other.take(w.report("h1", 1, old)); code != 200 {
		t.Fatalf("the new owner answered %d", code)
	}
	// The former owner has not noticed: it must not hold a worker that has.
	if code, _ := owner.take(w.report("h1", 1, other.membershipToken())); code == 200 {
		t.Fatal("the former owner answered 200")
	}
}

// Cancel wins over a claim that was computed before it was seen.
func TestAStaleClaimFailsAfterACancellation(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	owner, other := w.owner("h1")
	owner.take(w.report("h1", 1, owner.membershipToken()))
	w.exchange(owner, other)
	w.submit(owner, work("wk-1", 1))
	owner.Lock()
	txns := owner.scheduler.Schedule()
	owner.Unlock()
	if len(txns) != 1 {
		t.Fatalf("%d writes for one claim", len(txns))
	}
	if code, _, _ := ask(other, "POST", "/work/wk-1/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	owner.scheduler.Commit(context.Background(), txns[0])
	w.sync()
	if owner.claimsOn("h1") != 0 {
		t.Fatal("a cancelled job was claimed")
	}
}

// A node that can't read cancellations keeps leases alive for a while, starts
// nothing, and then stops answering so that the leases end in time.
func TestACutOffNodeStopsRenewingLeasesBeforeACancellationIsDue(t *testing.T) {
	w, n := worldWithMachine(t, "batch")
	w.submit(n, work("wk-1", 1))
	w.passAll()
	w.st.Down = true
	w.clk.add(tuning.StoreStaleAfter + time.Second)
	_, body := n.take(w.report("h1", 1, n.membershipToken()))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders without the state service: %v", o)
	}
	w.clk.add(n.Settings.RenewalBound() - tuning.StoreStaleAfter)
	if code, _ := n.take(w.report("h1", 1, n.membershipToken())); code == 200 {
		t.Fatal("200 after the bound")
	}
	if last := n.Settings.RenewalBound() + lease; last >= cancel {
		t.Fatalf("a lease may last %v after the last read, a cancellation has %v", last, cancel)
	}
}

func TestHealthFollowsTheSiblings(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.nodes["a"], w.nodes["b"]
	w.st.Down = true
	w.clk.add(tuning.StoreStaleAfter + time.Second)
	w.exchange(b, a)
	if !a.healthy() {
		t.Fatal("unhealthy though no node has the state service")
	}
	// It hears no sibling either: users would all come to it, the one with the
	// fewest connections, and be refused.
	w.clk.add(tuning.PeerFresh + time.Second)
	if a.healthy() {
		t.Fatal("healthy though cut off from the state service and the siblings")
	}
	w.st.Down = false
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	w.exchange(b, a)
	if a.healthy() || !b.healthy() {
		t.Fatalf("cut off: healthy %v, its sibling: %v", a.healthy(), b.healthy())
	}
}

func TestADrainedMachineTakesNoClaimAndGoesBackEmpty(t *testing.T) {
	w, n := worldWithMachine(t, "batch")
	ctx := context.Background()
	w.submit(n, work("wk-1", 1))
	n.Lock()
	claim := n.scheduler.Schedule()
	drains, _ := n.leaderLoop.PlanDrains([]autoscale.ScaleIn{{Machine: "h1", Reason: autoscale.ReasonIdle}})
	n.Unlock()
	n.leaderLoop.StoreMachines(ctx, drains)
	n.Lock()
	early, _ := n.leaderLoop.PlanTerminations(n.leaderLoop.CurrentLeaderState(), w.clk.now())
	n.Unlock()
	if len(early) != 0 {
		t.Fatal("returned before all claims that the drain may have missed were read")
	}
	for _, c := range claim {
		n.scheduler.Commit(ctx, c)
	}
	w.sync()
	if n.claimsOn("h1") != 0 {
		t.Fatal("a claim on a drained machine was stored")
	}
	n.Lock()
	returns, _ := n.leaderLoop.PlanTerminations(n.leaderLoop.CurrentLeaderState(), w.clk.now())
	n.Unlock()
	n.leaderLoop.Terminate(ctx, returns)
	// A list that is late still shows it; it must not join again.
	n.leaderLoop.ReconcileCloudList(ctx, w.cl.Listed)
	if rec, known := n.Inventory.Machines["h1"]; len(w.cl.Returned) != 1 || known {
		t.Fatalf("returned %v, still known: %+v", w.cl.Returned, rec)
	}
}

// A returned machine is the proof that releases its claims.
func TestTasksOfAGoneMachineAreReleasedAfterItsReturn(t *testing.T) {
	w, n := worldWithMachine(t, "batch")
	ctx := context.Background()
	w.submit(n, work("wk-1", 1))
	w.passAll()
	if n.claimsOn("h1") != 1 {
		t.Fatal("no claim")
	}
	w.cl.Listed = nil
	for range tuning.MissingLists + 1 {
		w.clk.add(10 * time.Second)
		n.leaderLoop.ReconcileCloudList(ctx, nil)
	}
	w.passAll()
	if n.claimsOn("h1") != 1 {
		t.Fatal("absence from the list released a task")
	}
	n.Lock()
	l := n.leaderLoop.CurrentLeaderState()
	n.leaderLoop.PlanInput(l, n.MachineIndex.RefreshMachines(w.clk.now()), w.clk.now())
	l.LastHeard["h1"] = w.clk.now().Add(-time.Minute)
	out := autoscale.Plan(n.leaderLoop.PlanInput(l, n.MachineIndex.RefreshMachines(w.clk.now()), w.clk.now()))
	_, returns := n.leaderLoop.PlanDrains(out.ScaleIn)
	n.Unlock()
	if len(returns) != 1 {
		t.Fatalf("a machine that the list omits is not returned: drains %v", out.ScaleIn)
	}
	n.leaderLoop.Terminate(ctx, returns)
	w.sync()
	w.passAll()
	if n.claimsOn("h1") != 0 {
		t.Fatal("the return did not release the task")
	}
}

// After a node's crash its siblings hear nothing of its machines for a while;
// the leader once took them for silent and returned them all.
func TestMachinesOfACrashedNodeAreNotSilent(t *testing.T) {
	w := newWorld(t, "a", "b")
	l := w.leader()
	var other *Controller
	for _, n := range w.nodes {
		if n != l {
			other = n
		}
	}
	host := ""
	for i := 0; host == ""; i++ {
		if h := "h" + string(rune('a'+i)); l.Membership.Owner(h) == other.Self.Label {
			host = h
		}
	}
	w.addHost(host, "batch")
	units := func() autoscale.Machine {
		l.Lock()
		defer l.Unlock()
		for _, u := range l.leaderLoop.PlanInput(l.leaderLoop.CurrentLeaderState(), l.MachineIndex.RefreshMachines(w.clk.now()), w.clk.now()).Machines {
			if u.Name == host {
				return u
			}
		}
		return autoscale.Machine{}
	}
	for range 40 { // heard for a long time
		w.clk.add(5 * time.Second)
		w.sync()
		other.take(w.report(host, 1, other.membershipToken()))
		w.exchange(other, l)
		units()
	}
	other.Lock()
	clear(other.Workers.ByMachine) // as after a restart
	other.Unlock()
	w.exchange(other, l)
	w.clk.add(2 * time.Second)
	if u := units(); u.Silent || u.Missing {
		t.Fatalf("a machine heard seconds ago: %+v", u)
	}
}

// A former process's late write of the session key must not stand.
func TestASessionIsStoredAgainAfterALateWriteOfAFormerProcess(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	old := membership.Node{Label: "a", Incarnation: 777}
	w.st.Leases[777] = true
	_, err := w.st.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: membership.SessionKey("a"), Value: wire.MustMarshal(old), LeaseID: 777}})
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		w.settle()
	}
	n.Lock()
	defer n.Unlock()
	if n.Sessions["a"] != n.Self || !n.IsMember() {
		t.Fatalf("session %+v, self %+v", n.Sessions["a"], n.Self)
	}
}

// Users of a node that alone has lost the state service must not notice.
func TestARequestIsPassedOnToASiblingWithTheStateService(t *testing.T) {
	w := newWorld(t, "a", "b")
	a, b := w.nodes["a"], w.nodes["b"]
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := b.httpServer(b.servePeer, 8)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	a.Peers.Siblings["b"].Client = peer.NewClient(ln.Addr().String())
	w.clk.add(tuning.StoreStaleAfter + time.Second)
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	w.exchange(b, a)
	a.Store = nil // any use of the state service by this node would panic
	if code, _, _ := ask(a, "POST", "/work", work("wk-1", 1)); code != 201 {
		t.Fatalf("submission: %d", code)
	}
	if code, st, _ := ask(a, "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %+v", code, st)
	}
	if code, _, _ := ask(a, "GET", "/work/wk-2", nil); code != 404 {
		t.Fatalf("poll of an unknown job: %d", code)
	}
}

func TestOperatorsSeeStateAndMetrics(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.submit(n, service("wk-1", 1))
	w.passAll()
	_, _, c := ask(n, "GET", "/status", nil)
	if body := string(c.Response.Body()); !strings.Contains(body, "leader a") || !strings.Contains(body, "waiting wk-1 tasks 1 because "+placement.ReasonNoRoom) {
		t.Fatalf("status:\n%s", body)
	}
	_, _, c = ask(n, "GET", "/metrics", nil)
	body := string(c.Response.Body())
	for _, want := range []string{"wheatspur_leader 1", "wheatspur_tasks_without_place 1", `wheatspur_answers_total{request="submission",status="201"} 1`} {
		if !strings.Contains(body, want) {
			t.Errorf("metrics lack %s:\n%s", want, body)
		}
	}
}

// The largest job must stay within the value limit and cost a pass little.
func TestAnArrayOfAHundredThousandTasks(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	n.limitTeam(0)
	w.addHost("h1", "batch")
	n.take(w.report("h1", 1, n.membershipToken()))
	big := work("wk-1", wire.MaxTasks)
	big.GPUs = 0.01
	big.CPUs = 0.01
	big.RAMGB = 0.01
	w.submit(n, big)
	for range 4 {
		w.clk.add(10 * time.Second)
		w.sync()
		n.take(w.report("h1", 1, n.membershipToken()))
		start := time.Now()
		n.Lock()
		txns := n.scheduler.Schedule()
		n.Unlock()
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("a pass took %v", d)
		}
		for _, x := range txns {
			n.scheduler.Commit(context.Background(), x)
		}
		w.sync()
	}
	if n.claimsOn("h1") < 2*tuning.TasksPerJob {
		t.Fatalf("%d tasks claimed in four passes", n.claimsOn("h1"))
	}
	for k, e := range w.st.Keys {
		var v any
		if err := wire.Unmarshal(e.Value, &v); err != nil || len(fmt.Sprint(v)) > 4096 {
			t.Errorf("%s: %d bytes, %v", k, len(fmt.Sprint(v)), err)
		}
	}
	if _, st, _ := ask(n, "GET", "/work/wk-1", nil); st.State != wire.StateRunning || st.Done != 0 {
		t.Fatalf("%+v", st)
	}
}
