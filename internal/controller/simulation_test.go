package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/fake"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// machine is a scripted worker with what stands between it and the nodes.
type machine struct {
	fake.Worker
	due  time.Time // of the next report
	node string    // it reports to

	hung        bool
	inboundCut  bool                  // answers and direct calls don't reach it
	outboundCut bool                  // it reaches no node
	cut         map[string]bool       // nodes that it does not reach
	holding     bool                  // direct calls to it are held in the network
	calls       []wire.CommandRequest // those
	last        wire.Heartbeat        // its last report
	sessions    []session             // that have ended
}

// session is an ended session of a worker.
type session struct {
	number uint64
	tasks  int // that it ended with
	at     time.Time
}

// trial is a world with scripted workers that watches the rules.
type trial struct {
	*world
	mu        sync.Mutex
	machines  []*machine
	confirmed map[string]time.Time     // cancellations that users were told of
	patience  time.Duration            // how long after its confirmed cancellation a task may still start
	runs      map[string]time.Duration // of a job's tasks; none: they never end
	starts    map[string]int           // of each task
	limit     float64                  // of the team
}

// newTrial returns a world of three nodes whose machines, as many of each
// owner, report and are proven.
func newTrial(t testing.TB, each int, limit float64) *trial {
	t.Helper()
	labels := []string{"a", "b", "c"}
	x := &trial{world: newWorldWith(t, &direct{}, labels...),
		confirmed: map[string]time.Time{}, runs: map[string]time.Duration{}, starts: map[string]int{}, limit: limit}
	x.call.(*direct).x = x
	for _, n := range x.nodes {
		n.limitTeam(limit)
	}
	x.raise()
	count := map[string]int{}
	for i := 0; len(x.machines) < each*len(labels); i++ {
		host := fmt.Sprintf("h%d", i)
		if o, _ := x.owner(host); count[o.Self.Label] < each {
			count[o.Self.Label]++
			x.join(host)
		}
	}
	x.run(8 * time.Second)
	return x
}

// join adds a machine of the batch role that is up.
func (x *trial) join(host string) *machine {
	x.t.Helper()
	return x.joinAs(host, "batch")
}

// joinAs adds a machine of a role that is up.
func (x *trial) joinAs(host, role string) *machine {
	x.t.Helper()
	m := &machine{due: x.clk.now(), node: "a", cut: map[string]bool{}, Worker: fake.Worker{Host: host, Address: host, Type: "g", Zone: "z",
		Session: 1, Tasks: map[string]*fake.Task{}, Renewed: x.clk.now(), Begins: x.begins}}
	x.mu.Lock()
	x.machines = append(x.machines, m)
	x.mu.Unlock()
	x.addHost(host, role)
	return m
}

// of is the machine of an owner.
func (x *trial) of(n *Controller) *machine {
	for _, m := range x.machines {
		if o, _ := x.owner(m.Host); o == n {
			return m
		}
	}
	x.t.Fatalf("%s owns no machine", n.Self.Label)
	return nil
}

// begins watches the start of a task and says how long it runs; the lock is held.
func (x *trial) begins(w *fake.Worker, t *fake.Task) time.Duration {
	now := x.clk.now()
	for _, o := range x.machines {
		for _, u := range o.Tasks {
			// A machine that hangs beyond its lease ends its tasks before it goes on.
			if u.TaskStatus.Task == t.TaskStatus.Task && u.State == wire.TaskRunning && now.Sub(o.Renewed) <= lease {
				x.t.Errorf("%s starts on %s while it is on %s", t.TaskStatus.Task, w.Host, o.Host)
			}
		}
	}
	if at, ok := x.confirmed[t.JobID]; ok && now.Sub(at) > x.patience {
		x.t.Errorf("%s starts %v after its cancellation was confirmed", t.TaskStatus.Task, now.Sub(at))
	}
	x.starts[t.TaskStatus.Task]++
	return x.runs[t.JobID]
}

// live lets a machine live on; the lock is held.
func (x *trial) live(m *machine) {
	now := x.clk.now()
	if m.hung {
		return
	}
	if now.Sub(m.Renewed) > lease {
		m.sessions = append(m.sessions, session{m.Session, len(m.Tasks), now})
		m.EndSession(now)
		m.due = now
	}
	m.Advance(now)
	if !m.holding {
		held := m.calls
		m.calls = nil
		for _, c := range held {
			m.Take(now, c)
		}
	}
	if now.Before(m.due) {
		return
	}
	m.due = now.Add(3 * time.Second)
	r := m.Report()
	m.last = r
	if m.outboundCut {
		return
	}
	labels := slices.Sorted(maps.Keys(x.nodes))
	next := m.node
	for range 2 * len(labels) {
		n := x.nodes[next]
		if n == nil || m.cut[next] {
			next = labels[(slices.Index(labels, next)+1)%len(labels)]
			continue
		}
		code, body := n.take(&r)
		m.node = next
		if code == 200 {
			o := body.(wire.HeartbeatResponse)
			if !m.inboundCut && m.Answered(now, o) {
				m.CarryOut(now, o.Commands)
			}
			return
		}
		if d, ok := body.(wire.Redirect); ok && d.Node != "" && d.Node != next {
			next = d.Node
		} else {
			next = labels[(slices.Index(labels, next)+1)%len(labels)]
		}
	}
}

// direct carries direct calls to the scripted workers.
type direct struct{ x *trial }

func (d *direct) SendCommands(address string, c wire.CommandRequest) (int, *wire.Heartbeat, error) {
	x := d.x
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.machines {
		if m.Host != address {
			continue
		}
		switch {
		case m.hung, m.holding:
			m.calls = append(m.calls, c)
		case !m.inboundCut:
			code, r := m.Take(x.clk.now(), c)
			return code, &r, nil
		}
	}
	return 0, nil, store.ErrOutcomeUnknown
}

func (d *direct) Probe(string) error { return store.ErrOutcomeUnknown }

// step is a second in the life of the world.
func (x *trial) step() {
	x.t.Helper()
	x.clk.add(time.Second)
	ctx := context.Background()
	x.mu.Lock()
	for _, m := range x.machines {
		x.live(m)
	}
	x.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(x.nodes)) {
		n := x.nodes[label]
		if n.Syncer.Refresh(ctx) == nil {
			if errors.Is(n.election.MembershipStep(ctx), store.ErrLeaseExpired) {
				x.register(n)
			}
			_ = n.Syncer.Refresh(ctx)
		}
		x.pass(n)
		n.awaitCalls()
	}
	x.tell()
	x.check()
}

// awaitCalls waits for the direct calls that are under way: they end at once.
func (n *Controller) awaitCalls() {
	for len(n.Workers.CallSlots) > 0 {
		time.Sleep(100 * time.Microsecond)
	}
}

// run lets the world go on for a while.
func (x *trial) run(d time.Duration) {
	x.t.Helper()
	for range int(d / time.Second) {
		x.step()
	}
}

// check watches the rules that hold at any moment.
func (x *trial) check() {
	x.t.Helper()
	x.mu.Lock()
	defer x.mu.Unlock()
	used := 0.0
	for _, m := range x.machines {
		for _, t := range m.Tasks {
			if t.State == wire.TaskExited || x.clk.now().Sub(m.Renewed) > lease {
				continue
			}
			used++
			if at, ok := x.confirmed[t.JobID]; ok && !m.hung && x.clk.now().Sub(at) > cancel {
				x.t.Errorf("%s is on %s %v after its cancellation was confirmed", t.TaskStatus.Task, m.Host, x.clk.now().Sub(at))
			}
		}
	}
	if x.limit > 0 && used > x.limit {
		x.t.Errorf("the team uses %v of %v", used, x.limit)
	}
	if x.t.Failed() {
		x.t.FailNow()
	}
}

// cancelAt lets a user cancel a job at a node; true if it is confirmed.
func (x *trial) cancelAt(n *Controller, jobID string) bool {
	code, st, _ := ask(n, "POST", "/work/"+jobID+"/cancel", nil)
	if code != 200 || st.State != wire.StateCancelled {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, told := x.confirmed[jobID]; !told {
		x.confirmed[jobID] = x.clk.now()
	}
	return true
}

// running counts a job's tasks that run on a machine.
func (x *trial) running(m *machine, jobID string) (k int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, t := range m.Tasks {
		if t.JobID == jobID && t.State == wire.TaskRunning {
			k++
		}
	}
	return k
}

// everywhere counts a job's tasks that run.
func (x *trial) everywhere(jobID string) (k int) {
	for _, m := range x.machines {
		k += x.running(m, jobID)
	}
	return k
}

// end ends a node's session in the state service, as after a cut; the process
// notices when it asks.
func (x *trial) end(n *Controller) { x.st.Expire(n.Self.Incarnation) }

// register gives a node whose session has ended a new one.
func (x *trial) register(n *Controller) {
	n.election.EndSession(n.Self.Incarnation)
	n.Lock()
	defer n.Unlock()
	n.Self.Incarnation, _ = x.st.GrantLease(context.Background(), time.Second)
	n.Session = n.Session.Next(membership.LeaseGranted)
}

// restart replaces a node's process by a new one.
func (x *trial) restart(label string) {
	x.t.Helper()
	if n := x.nodes[label]; n != nil {
		x.end(n)
	}
	n := x.start(label, []string{"a", "b", "c"})
	n.limitTeam(x.limit)
}

// others are the nodes beside one, in order.
func (x *trial) others(n *Controller) (out []*Controller) {
	for _, label := range slices.Sorted(maps.Keys(x.nodes)) {
		if x.nodes[label] != n {
			out = append(out, x.nodes[label])
		}
	}
	return out
}

func (x *trial) String() string {
	var b strings.Builder
	for _, m := range x.machines {
		fmt.Fprintf(&b, "%s at %s session %d token %d:", m.Host, m.node, m.Session, m.Token)
		for _, k := range slices.Sorted(maps.Keys(m.Tasks)) {
			fmt.Fprintf(&b, " %s %s", k, m.Tasks[k].State)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
