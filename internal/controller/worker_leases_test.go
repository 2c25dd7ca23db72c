package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// prove lets a machine show the present token twice over, as a live one does.
func (w *world) prove(host string, session uint64, tasks ...wire.TaskStatus) *Controller {
	w.t.Helper()
	n, _ := w.owner(host)
	if code, _ := n.take(w.report(host, session, n.membershipToken(), tasks...)); code != 200 {
		w.t.Fatalf("report of %s: %d", host, code)
	}
	return n
}

// A machine whose reports arrive, but which no answer and no command reaches.
func TestAMachineThatDoesNotHearTakesNothingNewAndItsServicesMove(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "service")
	w.prove("h1", 1)
	w.submit(n, service("wk-1", 2))
	w.passAll()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	w.prove("h1", 1, running...)
	// From here on nothing reaches it. It is told to start a third task.
	w.submit(n, service("wk-2", 1))
	w.passAll()
	for range 3 {
		w.prove("h1", 1, running...)
		w.clk.add(tuning.ConfirmAfter)
		w.sync()
	}
	if !n.Workers.ByMachine["h1"].Unresponsive {
		t.Fatal("nobody notices that it does nothing it is told")
	}
	w.submit(n, service("wk-3", 1))
	w.passAll()
	if n.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 0 {
		t.Fatal("a new task was placed on it")
	}
	// Its services stay until there is proof, even beside a free machine: its
	// reports go on and it runs them.
	w.addHost("h2", "service")
	w.prove("h2", 1)
	w.passAll()
	if n.claimsOn("h1") != 3 {
		t.Fatalf("%d claims on it: released without proof", n.claimsOn("h1"))
	}
	// Its lease ends, since no answer renewed it: a new session shows that.
	w.prove("h1", 2)
	w.passAll()
	w.passAll()
	if n.claimsOn("h1") != 0 || n.claimsOn("h2") != 4 {
		t.Fatalf("claims: %d on it, %d on the other machine", n.claimsOn("h1"), n.claimsOn("h2"))
	}
	// It hears again: a direct call is answered.
	n.Lock()
	n.Workers.ByMachine["h1"].CallAnswered()
	n.Unlock()
	w.prove("h1", 2)
	w.submit(n, service("wk-4", 1))
	w.passAll()
	if n.claimsOn("h1") != 1 {
		t.Fatal("it is not used again")
	}
}

// It is replaced if it stays that way.
func TestAMachineThatStaysUnresponsiveIsGivenBack(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "service")
	w.prove("h1", 1)
	n.Workers.ByMachine["h1"].Unresponsive = true
	var out autoscale.Output
	for range 4 {
		w.clk.add(lease)
		w.sync()
		w.prove("h1", n.Workers.ByMachine["h1"].Incarnation+1)
		n.Lock()
		n.Workers.ByMachine["h1"].Unresponsive = true
		n.leaderLoop.CurrentLeaderState().ListedAt = w.clk.now()
		out = autoscale.Plan(n.leaderLoop.PlanInput(n.leaderLoop.CurrentLeaderState(), n.MachineIndex.RefreshMachines(w.clk.now()), w.clk.now()))
		n.Unlock()
	}
	if len(out.ScaleIn) != 1 || out.ScaleIn[0].Reason != autoscale.ReasonQuarantined {
		t.Fatalf("%+v", out.ScaleIn)
	}
}

// Copies of reports come late: by seconds, by more than a lease, after a new
// session, after a reap, after a change of owner, and to a node just started.
func TestLateCopiesOfReportsProveNothing(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	n := w.prove("h1", 1)
	w.submit(n, work("wk-1", 1))
	w.passAll()
	w.passAll()
	done := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseError}
	before := w.report("h1", 1, n.membershipToken())
	w.prove("h1", 1, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	late := *before
	if code, body := n.take(&late); code == 200 {
		t.Fatalf("a copy was answered as a report: %v", body)
	}
	if n.claimsOn("h1") != 1 || len(n.Workers.ByMachine["h1"].Tasks) != 1 {
		t.Fatal("a copy without the task took it out of sight")
	}
	// A failed attempt is released, reaped and claimed again; then the report
	// that listed it comes once more.
	exited := w.report("h1", 1, n.membershipToken(), done)
	n.take(exited)
	w.clk.add(5 * time.Second)
	w.prove("h1", 1, done)
	w.passAll()
	w.clk.add(5 * time.Second)
	w.prove("h1", 1)
	w.passAll()
	again := *exited
	n.take(&again)
	w.passAll()
	n.Lock()
	task := n.Table.Jobs["wk-1"].Task(0)
	n.Unlock()
	if task.State == jobs.Completed || task.Attempt > 2 {
		t.Fatalf("a copy of a reaped attempt changed the task: %+v", task)
	}
	// The machine dies. Copies go on for well over a lease; the lease ends all
	// the same, and they make nothing look alive.
	last := w.report("h1", 1, n.membershipToken())
	n.take(last)
	for range 6 {
		w.clk.add(lease / 4)
		w.sync()
		c := *last
		n.take(&c)
	}
	w.passAll()
	if n.claimsOn("h1") != 0 {
		t.Fatal("copies kept the lease of a dead machine alive")
	}
	n.Lock()
	open := n.MachineIndex.RefreshMachines(w.clk.now()).Machine("h1").Schedulable
	n.Unlock()
	if open {
		t.Fatal("copies make a dead machine look alive")
	}
	// The owner's process is replaced: the new one, or the other node, knows
	// nothing of the machine and gets a copy first.
	w.st.Expire(n.Self.Incarnation)
	w.sync()
	n.election.EndSession(n.Self.Incarnation)
	for range 4 {
		w.settle()
	}
	w.passAll()
	now, _ := w.owner("h1")
	c := *last
	now.take(&c)
	w.submit(now, work("wk-2", 1))
	w.passAll()
	if now.claimsOn("h1") != 0 {
		t.Fatal("a task was placed on a dead machine that a copy spoke for")
	}
}

// A controller that loses the state service and its siblings, not its workers.
func TestACutOffNodeKeepsWhatRunsAndStartsNothing(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	n := w.prove("h1", 1)
	w.submit(n, work("wk-1", 1))
	w.submit(n, work("wk-2", 1))
	w.passAll()
	w.passAll()
	running := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}
	w.prove("h1", 1, running)
	w.st.Down = true
	w.clk.add(tuning.StoreStaleAfter + time.Second)
	code, body := n.take(w.report("h1", 1, n.membershipToken(), running))
	if o := commandsOf(t, code, body); len(o) != 0 {
		t.Fatalf("without the state service it orders %v", o)
	}
	reads := w.st.Reads
	for _, path := range []string{"/work/wk-1", "/work/wk-77"} {
		if code, _, c := ask(n, "GET", path, nil); code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
			t.Fatalf("GET %s: %d", path, code)
		}
	}
	if code, _, _ := ask(n, "POST", "/work", work("wk-9", 1)); code != 503 {
		t.Fatalf("a submission: %d", code)
	}
	if w.st.Reads != reads {
		t.Fatal("users wait for a read that can't come back")
	}
	if code, _ := n.take(w.report("h1", 1, n.membershipToken()+1, running)); code == 200 {
		t.Fatal("a report with a higher token was answered with 200")
	}
	// Its time is up: it sends its workers on. The other node has them by then
	// and releases nothing without proof.
	w.clk.add(cancel - lease)
	if code, _ := n.take(w.report("h1", 1, n.membershipToken(), running)); code != 421 {
		t.Fatalf("its workers get %d when its time is up", code)
	}
	w.st.Down = false
	w.st.Expire(n.Self.Incarnation)
	w.sync()
	n.election.EndSession(n.Self.Incarnation)
	for range 4 {
		w.settle()
	}
	w.passAll()
	heir := w.leader()
	if heir.claimsOn("h1") != 2 {
		t.Fatal("claims were released without proof")
	}
	for range 3 {
		// On return it registers again, once, and asks for nothing more.
		n.Lock()
		n.Session, n.Self.Incarnation = n.Session.Next(membership.LeaseGranted), 0
		n.Unlock()
		n.Self.Incarnation, _ = w.st.GrantLease(context.Background(), time.Second)
		break
	}
	for range 4 {
		w.settle()
	}
	revision := w.st.Revision
	for range 5 {
		w.settle()
		w.passAll()
	}
	if w.st.Revision-revision > 4 {
		t.Fatalf("%d changes after its return", w.st.Revision-revision)
	}
}

// A process that is back within a fraction of a second, in the middle of an
// election: its old session is still held, its write of the lead key and of
// the membership have unknown outcomes, its old calls still arrive.
func TestARestartAmidAnElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	w := newWorld(t, labels...)
	old := w.leader()
	label, token := old.Self.Label, old.membershipToken()
	w.addHost("h1", "batch")
	// A write of the old process that is still under way.
	old.Lock()
	held := w.st.Keys[membership.Key].Version
	stale := *old.Membership
	stale.FencingToken++
	old.Unlock()
	fresh := w.start(label, labels) // its old session and lead key still stand
	for range 6 {
		w.settle()
	}
	lead := w.leader()
	if lead.membershipToken() <= token {
		t.Fatal("the restart did not raise the token")
	}
	if lead.Membership.Contains(old.Self) || !lead.Membership.Contains(fresh.Self) {
		t.Fatalf("members %+v", lead.Membership.Nodes)
	}
	// The old process's write arrives late and changes nothing.
	if _, err := w.st.CompareAndSwap(context.Background(), 0, []wire.Compare{{Key: membership.Key, Version: held}},
		[]wire.Operation{{Put: membership.Key, Value: wire.MustMarshal(stale)}}); err == nil {
		t.Fatal("a membership of the old process was stored")
	}
	// A membership write whose answer is lost is not written twice.
	w.st.Expire(fresh.Self.Incarnation)
	w.sync()
	w.st.Lose = 1
	for range 6 {
		w.settle()
	}
	seen := map[uint64]bool{}
	for _, n := range w.nodes {
		if n != fresh {
			seen[n.membershipToken()] = true
		}
	}
	if len(seen) != 1 {
		t.Fatalf("tokens %v", seen)
	}
	// The old process, if it still ran, is entitled to nothing.
	old.Syncer.ReadBarrier(time.Second)
	if code, _ := old.take(w.report("h1", 1, token)); code == 200 {
		t.Fatal("the old process answers workers")
	}
}

// After an outage every job's polls are answered, whichever they are: no
// queue fails the same ones again and again.
func TestPollsOfAllJobsAreAnsweredAfterAnOutage(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	const known = 600
	for i := range known {
		v := wire.MustMarshal(jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 70, Spec: ptr(work(fmt.Sprintf("wk-%d", i), 1))})
		if _, err := w.st.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: jobs.JobKey(fmt.Sprintf("wk-%d", i)), Value: v}}); err != nil {
			t.Fatal(err)
		}
	}
	w.st.Down = true
	w.clk.add(time.Minute)
	if code, _, _ := ask(n, "GET", "/work/wk-1", nil); code != 503 {
		t.Fatalf("a poll in an outage: %d", code)
	}
	w.st.Down = false
	w.sync()
	left := map[string]bool{}
	for i := range known {
		left[fmt.Sprintf("wk-%d", i)] = true
	}
	for round := 0; len(left) > 0; round++ {
		if round == 4 {
			t.Fatalf("%d jobs get no answer in four rounds of polls", len(left))
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		// Those that are answered leave the map meanwhile.
		for _, jobID := range slices.Collect(maps.Keys(left)) {
			wg.Go(func() {
				if code, _, _ := ask(n, "GET", "/work/"+jobID, nil); code == 200 {
					mu.Lock()
					defer mu.Unlock()
					delete(left, jobID)
				}
			})
		}
		wg.Wait()
	}
}

func ptr[T any](v T) *T { return &v }

// Reports that no honest, up-to-date worker sends are answered by the
// protocol and change nothing; carried out requests that come again too.
func TestBadReportsAndRepeatedRequestsChangeNothing(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "batch")
	w.prove("h1", 3)
	w.submit(n, work("wk-1", 1))
	w.passAll()
	w.prove("h1", 3, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	revision := w.st.Revision
	for name, r := range map[string]*wire.Heartbeat{
		"session goes back":    {Machine: "h1", MachineType: "g", Incarnation: 2, Sequence: 999, FencingToken: n.membershipToken()},
		"sequence goes back":   {Machine: "h1", MachineType: "g", Incarnation: 3, Sequence: 1, FencingToken: n.membershipToken()},
		"token from nowhere":   {Machine: "h1", MachineType: "g", Incarnation: 4, Sequence: 1, FencingToken: n.membershipToken() + 7},
		"session zero":         {Machine: "h1", MachineType: "g", Sequence: 1},
		"no name":              {Incarnation: 1, Sequence: 1},
		"shards from nowhere":  {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "nonsense", Attempt: 1, State: wire.TaskRunning}}},
		"unknown machine":      {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 2, FencingToken: n.membershipToken()},
		"exit of another's":    {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 3, FencingToken: n.membershipToken(), Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
		"exit without a claim": {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 4, FencingToken: n.membershipToken(), Tasks: []wire.TaskStatus{{Task: "wk-77/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
	} {
		if code, _, _ := ask(n, "POST", "/checkin", r); code != 200 && code != 400 && code != 421 && code != 503 {
			t.Errorf("%s: %d", name, code)
		}
	}
	for range 2 {
		if code, st, _ := ask(n, "POST", "/work", work("wk-1", 1)); code != 200 || st.State != wire.StateRunning {
			t.Fatalf("repeated submission: %d %+v", code, st)
		}
	}
	w.passAll()
	if w.st.Revision != revision || n.claimsOn("h1") != 1 || n.claimsOn("h9") != 0 {
		t.Fatalf("%d changes, %d claims", w.st.Revision-revision, n.claimsOn("h1"))
	}
	if code, _, _ := ask(n, "POST", "/work/wk-1/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	revision = w.st.Revision
	if code, st, _ := ask(n, "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != wire.StateCancelled || w.st.Revision != revision {
		t.Fatalf("repeated cancellation: %d %+v", code, st)
	}
	if code, st, _ := ask(n, "POST", "/work", work("wk-1", 1)); code != 200 || st.State != wire.StateCancelled {
		t.Fatalf("a submission after its cancellation: %d %+v", code, st)
	}
}

// With its siblings down a node holds the workers of all; between their
// reports they must not keep users and health checks out.
func TestACrowdedNodeClosesWorkersConnectionsNotUsers(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	n.Settings.Params.Limits.MaxConnections = 1000
	w.addHost("h1", "batch")
	for _, c := range []struct {
		open  int
		close bool
	}{{100, false}, {700, true}} {
		n.Workers.OpenConnections = func() int { return c.open }
		if _, _, ctx := ask(n, "POST", "/checkin", w.report("h1", 1, n.membershipToken())); ctx.Response.ConnectionClose() != c.close {
			t.Errorf("%d open connections: a worker's is closed %v", c.open, ctx.Response.ConnectionClose())
		}
		if code, _, ctx := ask(n, "GET", "/up", nil); code != 200 || ctx.Response.ConnectionClose() {
			t.Errorf("%d open connections: health check %d", c.open, code)
		}
	}
}

// A list that shows a machine created later is newer than all before it: what
// it omits is gone. A list that does not may be older than a new machine.
func TestAbsenceCountsAtOnceInAListWithALaterName(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "batch")
	w.addHost("h2", "batch")
	w.addHost("h3", "batch")
	n.Lock()
	n.leaderLoop.CurrentLeaderState().FirstListed = map[string]time.Time{} // as after a change of leader
	n.Unlock()
	n.leaderLoop.ReconcileCloudList(context.Background(), []wire.Machine{w.cl.Listed[0], w.cl.Listed[2]})
	if l := n.leaderLoop.CurrentLeaderState(); l.MissingLists["h2"] != 1 {
		t.Fatalf("absences %v beside a later machine", l.MissingLists)
	}
	n.leaderLoop.ReconcileCloudList(context.Background(), w.cl.Listed[:2])
	if l := n.leaderLoop.CurrentLeaderState(); l.MissingLists["h3"] != 0 || l.MissingLists["h2"] != 0 {
		t.Fatalf("absences %v in a list that may be older", l.MissingLists)
	}
}

// A zone is cut off, and a node restarts: what the machines behind the cut ran
// is released when their leases end, though no report shows the new token, if
// nobody else has owned them meanwhile; and no other.
func TestAMachinesProofOutlivesAMembershipThatLeavesItsOwner(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	for _, n := range w.nodes {
		n.limitTeam(1000)
	}
	w.raise()
	hosts := make([]string, 12)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("h%d", i)
		w.addHost(hosts[i], "service")
		w.prove(hosts[i], 1)
	}
	w.tell()
	w.submit(w.leader(), service("wk-1", 48))
	for range 3 {
		w.passAll()
	}
	owners := map[string]string{}
	for _, h := range hosts {
		o, _ := w.owner(h)
		owners[h] = o.Self.Label
		if o.claimsOn(h) == 0 {
			t.Fatalf("nothing is placed on %s", h)
		}
	}
	before := map[string]uint64{}
	for _, n := range w.nodes {
		before[n.Self.Label] = n.Self.Incarnation
	}
	w.raise() // from here on no machine is heard
	w.clk.add(time.Duration(float64(lease)*tuning.DriftFactor) + tuning.LeaseMargin + time.Second)
	for range 4 {
		w.sync()
		w.passAll()
		w.clk.add(tuning.ReleaseGather)
	}
	kept, moved := 0, 0
	for _, h := range hosts {
		o, _ := w.owner(h)
		same := owners[h] == o.Self.Label && before[o.Self.Label] == o.Self.Incarnation
		switch claims := o.claimsOn(h); {
		case same && claims > 0:
			t.Errorf("%s stays with %s, which may not release its %d tasks", h, o.Self.Label, claims)
		case !same && claims == 0:
			t.Errorf("%s has another owner, which released its tasks unproven", h)
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

// A node that has missed a membership can't tell who owned its machines under
// it: their proof is void.
func TestAMissedMembershipVoidsTheProof(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	for _, c := range []struct {
		name string
		next func(*membership.Record) uint64
		want worker.TokenState
	}{
		{"the next", func(r *membership.Record) uint64 { return r.LastToken() + 1 }, worker.TokenAcknowledged},
		{"the one after it", func(r *membership.Record) uint64 { return r.LastToken() + 2 }, worker.TokenUnacknowledged},
		{"an older version's, which takes a token of the one before", func(r *membership.Record) uint64 { return r.FencingToken + 1 }, worker.TokenUnacknowledged},
	} {
		n.Lock()
		r := *n.Membership
		n.Workers.ByMachine["h1"].State = worker.TokenAcknowledged
		r.FencingToken, r.TokenRange = c.next(n.Membership), tuning.TokenSpan
		err := n.applyMembership(wire.MustMarshal(r))
		got := n.Workers.ByMachine["h1"].State
		n.Unlock()
		if err != nil || got != c.want {
			t.Errorf("under %s membership the machine is %s, want %s (%v)", c.name, got, c.want, err)
		}
	}
}

// Machines fall silent: room for their services is rented at once, not when the
// proof has come. If hardly any is heard, it is the node that hears nothing.
func TestRoomForServicesOnSilentMachinesIsRentedAhead(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	n.limitTeam(1000)
	w.raise()
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	for _, h := range hosts {
		w.addHost(h, "service")
		w.prove(h, 1)
	}
	w.submit(n, service("wk-1", 24))
	w.passAll()
	ahead := func(silent int) (tasks int) {
		w.clk.add(n.SilenceTimeout() + time.Second)
		w.sync()
		for _, h := range hosts[silent:] {
			w.prove(h, 1)
		}
		n.Lock()
		defer n.Unlock()
		now := n.Now()
		for _, want := range n.leaderLoop.PlanInput(n.leaderLoop.CurrentLeaderState(), n.MachineIndex.RefreshMachines(now), now).Demands {
			if want.Job.ID == "wk-1" {
				tasks += want.Count
			}
		}
		return tasks
	}
	for silent, want := range map[int]int{0: 0, 2: 8, 5: 0} {
		if got := ahead(silent); got != want {
			t.Errorf("%d of 6 machines are silent: room for %d tasks is rented, want %d", silent, got, want)
		}
	}
}

// drain stores that a machine takes no more tasks.
func (w *world) drain(host, why string) {
	w.t.Helper()
	n := w.leader()
	was := n.Inventory.Machines[host]
	is := was
	is.Phase, is.Reason = inventory.Draining, why
	n.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: host, Before: &was, After: &is}})
	w.sync()
}

// A machine that was taken while it was being drained showed its owner's next
// token to nobody, so its lease proved nothing, and nobody gave it back: its
// tasks stayed claimed for ever.
func TestADrainedMachineThatGoesAwayIsGivenBackForProof(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	w.submit(w.nodes["a"], work("wk-1", 1))
	w.passAll()
	w.drain("h1", autoscale.ReasonSurplus)
	owner, other := w.owner("h1")
	if owner.claimsOn("h1") != 1 || owner.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatalf("%d claims, %s", owner.claimsOn("h1"), owner.Inventory.Machines["h1"].Phase)
	}
	// Its owner ends and never hears it again.
	w.st.Expire(owner.Self.Incarnation)
	delete(w.nodes, owner.Self.Label)
	for range 3 {
		w.settle()
	}
	plan := func() []string {
		other.Lock()
		defer other.Unlock()
		l, now := other.leaderLoop.CurrentLeaderState(), w.clk.now()
		other.leaderLoop.PlanInput(l, other.MachineIndex.RefreshMachines(now), now)
		return l.LostWhileDraining
	}
	if lost := plan(); len(lost) != 0 {
		t.Fatalf("%v are given back before they are surely silent", lost)
	}
	w.clk.add(2*lease + 10*time.Second)
	w.sync()
	lost := plan()
	if len(lost) != 1 {
		t.Fatalf("lost: %v", lost)
	}
	w.passAll()
	if other.claimsOn("h1") != 1 {
		t.Fatal("its task is released without proof")
	}
	other.leaderLoop.Terminate(context.Background(), lost)
	w.sync()
	w.passAll()
	if other.claimsOn("h1") != 0 {
		t.Fatal("its task is never released")
	}
}

// Machine records wait for the budget, up to seconds: one that was idle may
// have work when its turn comes, and another leader may have changed it.
func TestMachineRecordsAreStoredAsTheyWereDecidedOrNotAtAll(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", "batch")
	w.prove("h1", 1)
	w.submit(n, work("wk-1", 1))
	w.passAll()
	w.drain("h1", autoscale.ReasonIdle)
	if n.Inventory.Machines["h1"].Phase != inventory.Active {
		t.Fatal("a machine that has work again goes because it was idle")
	}
	w.drain("h1", autoscale.ReasonSurplus)
	if n.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatal("a machine is not drained")
	}
	n.Lock()
	n.Leader = nil
	n.Unlock()
	n.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: "h9", After: &inventory.Record{MachineType: "g", Zone: "z", Role: "batch", Phase: inventory.Active}}})
	w.sync()
	if n.Inventory.KeyOf("h9") != "" {
		t.Fatal("a node that does not lead stores machine records")
	}
}
