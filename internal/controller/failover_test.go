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

// untilReports goes on until the next reports are still some time away.
func (x *trial) untilReports(d time.Duration) {
	for x.machines[0].due.Sub(x.clk.now()) < d {
		x.step()
	}
}

// passes lets every node decide and act twice, in no time.
func (x *trial) passes() {
	for range 2 {
		x.tell()
		for _, n := range x.nodes {
			x.pass(n)
			for len(n.Workers.CallSlots) > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		x.sync()
	}
}

// full lets a job fill all machines, and waits until it runs.
func (x *trial) full(jobID string) {
	x.t.Helper()
	x.submit(x.leader(), work(jobID, 4*len(x.machines)))
	for range 20 {
		if x.step(); x.everywhere(jobID) == 4*len(x.machines) {
			return
		}
	}
	x.t.Fatalf("%d of %d tasks run\n%s", x.everywhere(jobID), 4*len(x.machines), x)
}

// The gap: the leader alone loses the state service, another node confirms a
// cancellation, then everybody has lost it for longer than a cancellation may
// take, while the workers go on reporting. The tasks are gone in time all the
// same, and each lease ends when its node's last read says, not long before.
func TestTheGap(t *testing.T) {
	const outage = cancel + 20*time.Second
	type gap struct {
		x                        *trial
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
			8: func(g gap) { g.x.way[g.leader.Self.Label].set(false) },
			9: func(g gap) { g.x.way[g.leader.Self.Label].set(true) }}},
		{name: "the store is back for a moment at the third node", at: map[int]func(gap){
			20: func(g gap) { g.x.way[g.rest.Self.Label].set(false) },
			21: func(g gap) { g.x.way[g.rest.Self.Label].set(true) }}},
		{name: "a worker changes nodes", loose: true, at: map[int]func(gap){
			4:  func(g gap) { g.x.of(g.leader).cut[g.leader.Self.Label] = true },
			14: func(g gap) { g.x.of(g.leader).cut[g.leader.Self.Label] = false }}},
		{name: "reports waited in the network and reach every node", at: map[int]func(gap){
			6:  func(g gap) { g.x.copies() },
			24: func(g gap) { g.x.copies() },
			40: func(g gap) { g.x.copies() }}},
		{name: "machines hang and resume within their lease", loose: true, at: map[int]func(gap){
			3: func(g gap) {
				for _, m := range g.x.machines {
					m.hung = true
				}
			},
			27: func(g gap) {
				for _, m := range g.x.machines {
					m.hung = false
				}
			}}},
		{name: "the leader's last read took 6 s and showed nothing of it", loose: true, at: map[int]func(gap){}},
	}
	// Who loses the state service first, second and third; the confirming node
	// confirms right before it does.
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for _, v := range variants {
			t.Run(fmt.Sprintf("%v %s", order, v.name), func(t *testing.T) {
				x := newTrial(t, 1, 1000)
				x.full("wk-1")
				l := x.leader()
				g := gap{x: x, leader: l, confirming: x.others(l)[0], rest: x.others(l)[1]}
				nodes := []*Controller{g.leader, g.confirming, g.rest}
				if v.name[:10] == "the leader" {
					x.way[l.Self.Label].slow = func() {
						if !x.cancelAt(g.confirming, "wk-1") {
							t.Error("not confirmed")
						}
						x.way[l.Self.Label].set(true)
						x.clk.add(6 * time.Second)
					}
					x.run(time.Second)
				}
				for s := range int(outage / time.Second) {
					if s < 3 {
						n := nodes[order[s]]
						if n == g.confirming && !x.cancelAt(n, "wk-1") {
							t.Fatal("the cancellation is not confirmed")
						}
						x.way[n.Self.Label].set(true)
					}
					if f := v.at[s]; f != nil {
						f(g)
					}
					x.step()
				}
				// Nothing is left, whoever its node was, and every lease has ended
				// when the last read of its node allowed.
				if k := x.everywhere("wk-1"); k != 0 {
					t.Fatalf("%d tasks run after the outage\n%s", k, x)
				}
				for _, m := range x.machines {
					owner, _ := x.owner(m.Host)
					owner.Lock()
					knows := owner.Table.Jobs["wk-1"].Phase == jobs.Cancelled
					owner.Unlock()
					if knows {
						continue // it kills them, and the others attest that there is nothing else
					}
					if len(m.sessions) == 0 {
						t.Errorf("the lease of %s has not ended", m.Host)
						continue
					}
					// Not later than if all had attested up to the confirmation, not
					// long before what its own node's last read allows.
					bound := owner.Settings.RenewalBound() + lease
					if over := m.sessions[0].at.Sub(x.confirmed["wk-1"]); over > bound+2*time.Second {
						t.Errorf("the lease of %s ended %v after the confirmation, its bound is %v", m.Host, over, bound)
					}
					if over := m.sessions[0].at.Sub(owner.Syncer.LastReadAt()); !v.loose && over < bound-5*time.Second {
						t.Errorf("the lease of %s ended %v after its node's last read, its bound is %v", m.Host, over, bound)
					}
				}
				// It is back: the job stays cancelled, its claims go, and others run.
				for _, n := range nodes {
					x.way[n.Self.Label].set(false)
				}
				x.run(10 * time.Second)
				for _, n := range nodes {
					if code, st, _ := ask(n, "GET", "/work/wk-1", nil); code != 200 || st.State != wire.StateCancelled {
						t.Errorf("%s says %d %+v", n.Self.Label, code, st)
					}
				}
				x.full("wk-2")
			})
		}
	}
}

// The state service is out for all for minutes. While every node attests that it
// knows of no other cancellation, what runs goes on; where one doesn't, the
// leases end as ever, and what was confirmed is gone in time.
func TestALongOutage(t *testing.T) {
	const outage = 3 * time.Minute
	for _, c := range []struct {
		name   string
		before func(x *trial)       // before the outage
		at     map[int]func(*trial) // seconds into it
		starts int                  // of each task, in the end; 0: the job is cancelled
	}{
		{"all attest", nil, nil, 1},
		{"with a cancellation that all have read", func(x *trial) {
			x.submit(x.leader(), work("wk-9", 1))
			x.cancelAt(x.leader(), "wk-9")
			x.run(4 * time.Second)
		}, nil, 1},
		{"one is silent", nil, map[int]func(*trial){0: func(x *trial) { x.silent["b"] = true }}, 2},
		{"one falls silent later", nil, map[int]func(*trial){60: func(x *trial) { x.silent["c"] = true }}, 2},
		{"one was never heard", func(x *trial) { x.away(x.nodes["b"]); x.restart("b"); x.silent["b"] = true; x.run(8 * time.Second) }, nil, 2},
		{"one is of an older version", nil, map[int]func(*trial){0: func(x *trial) {
			for _, n := range x.others(x.nodes["b"]) {
				n.Peers.Siblings["b"].Attestation = membership.Attestation{} // it says nothing of cancellations
			}
			x.silent["b"] = true
		}}, 2},
		{"one is back for an instant and confirms a cancellation", nil, map[int]func(*trial){40: func(x *trial) {
			n := x.nodes["b"]
			x.way["b"].set(false)
			if err := n.Syncer.Refresh(context.Background()); err != nil || !x.cancelAt(n, "wk-1") {
				x.t.Error("not confirmed")
			}
			x.way["b"].set(true)
		}}, 0},
		{"one is back for an instant, confirms a cancellation and ends", nil, map[int]func(*trial){40: func(x *trial) {
			n := x.nodes["b"]
			x.way["b"].set(false)
			if err := n.Syncer.Refresh(context.Background()); err != nil || !x.cancelAt(n, "wk-1") {
				x.t.Error("not confirmed")
			}
			delete(x.nodes, "b")
		}}, 0},
		{"one is back for an instant, confirms a cancellation, ends and returns", nil, map[int]func(*trial){
			40: func(x *trial) {
				n := x.nodes["b"]
				x.way["b"].set(false)
				if err := n.Syncer.Refresh(context.Background()); err != nil || !x.cancelAt(n, "wk-1") {
					x.t.Error("not confirmed")
				}
				x.restart("b") // it reads the store, has a session, and then loses it like all others
				x.way["b"].set(true)
			}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTrial(t, 1, 1000)
			x.full("wk-1")
			x.run(4 * time.Second)
			if c.before != nil {
				c.before(x)
			}
			for _, w := range x.way {
				w.set(true)
			}
			for s := range int(outage / time.Second) {
				if f := c.at[s]; f != nil {
					f(x)
				}
				x.step()
			}
			if c.starts == 1 {
				x.want("in the outage", "wk-1", 12, 1)
				if _, _, page := ask(x.leader(), "GET", "/status", nil); !strings.Contains(string(page.Response.Body()), "cancellations known until 0.0 s ago") {
					t.Errorf("operators are not told:\n%s", page.Response.Body())
				}
			} else if k := x.everywhere("wk-1"); c.starts == 0 && k != 0 {
				t.Errorf("%d tasks of a cancelled job run\n%s", k, x)
			}
			for _, w := range x.way {
				w.set(false)
			}
			clear(x.silent)
			x.run(30 * time.Second)
			x.want("after it", "wk-1", 12*min(c.starts, 1), c.starts)
		})
	}
}

// set refuses a node, or serves it again.
func (a *access) set(refuse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuse = refuse
}

// copies lets the last report of every machine arrive at every node once more.
func (x *trial) copies() {
	for _, m := range x.machines {
		for _, n := range x.nodes {
			r := m.last
			n.take(&r)
		}
	}
}

// A direct start is held, in the network or by a machine that hangs, until its
// job's cancellation was confirmed and the machine has reported since. It must
// not run then, and its claim must not count for ever: the team is at its limit
// and others wait for that room.
func TestAHeldStartIsVoidAndFreesItsTeam(t *testing.T) {
	for _, c := range []struct {
		name string
		hang bool
		turn func(x *trial, owner *Controller) // before the cancellation
	}{
		{"held in the network", false, func(*trial, *Controller) {}},
		{"held by a machine that hangs", true, func(*trial, *Controller) {}},
		{"of the same node before another node's restart", false, func(x *trial, owner *Controller) { x.restart(x.others(owner)[0].Self.Label) }},
		{"of a former process of the node", false, func(x *trial, owner *Controller) { x.restart(owner.Self.Label) }},
		{"of a former owner", false, func(x *trial, owner *Controller) {
			x.end(owner)
			delete(x.nodes, owner.Self.Label)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTrial(t, 1, 4) // one machine's worth
			x.untilReports(2 * time.Second)
			for _, m := range x.machines {
				m.holding, m.hung = !c.hang, c.hang
			}
			x.submit(x.leader(), work("wk-1", 4))
			x.passes()
			var m *machine
			for _, o := range x.machines {
				if len(o.calls) > 0 {
					m = o
				}
			}
			if m == nil {
				t.Fatal("no direct start is held")
			}
			owner, _ := x.owner(m.Host)
			if !x.cancelAt(x.others(owner)[0], "wk-1") {
				t.Fatal("not confirmed")
			}
			c.turn(x, owner)
			if c.hang {
				x.run(10 * time.Second)
			}
			// The machines report again, the held calls are still under way.
			var held []func()
			for _, m := range x.machines {
				for _, call := range m.calls {
					held = append(held, func() { m.Take(x.clk.now(), call) })
				}
				m.calls, m.holding, m.hung = nil, false, false
			}
			x.run(10 * time.Second)
			x.mu.Lock()
			for _, f := range held {
				f()
			}
			x.mu.Unlock()
			x.run(20 * time.Second)
			// The team has its limit back.
			x.submit(x.leader(), work("wk-2", 4))
			x.run(40 * time.Second)
			if k := x.everywhere("wk-2"); k != 4 {
				t.Fatalf("%d of 4 tasks run in the cancelled job's room\n%s", k, x)
			}
		})
	}
}

// tasks checks how often each task of a job has begun, and how many run.
func (x *trial) want(what, jobID string, tasks, starts int) {
	x.t.Helper()
	if k := x.everywhere(jobID); k != tasks {
		x.t.Errorf("%s: %d tasks of %s run, want %d\n%s", what, k, jobID, tasks, x)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, k := range x.starts {
		if r, _, _ := jobs.ParseTaskName(task); r == jobID && starts > 0 && k != starts {
			x.t.Errorf("%s: %s has begun %d times, want %d", what, task, k, starts)
		}
	}
}

// answers asks every node about a job and wants the same phase of all.
func (x *trial) answers(what, jobID, phase string) {
	x.t.Helper()
	for _, n := range x.others(nil) {
		if code, st, _ := ask(n, "GET", "/work/"+jobID, nil); code != 200 || st.State != phase {
			x.t.Errorf("%s: %s says %d %q, want %q", what, n.Self.Label, code, st.State, phase)
		}
	}
}

// away ends the leader's process.
func (x *trial) away(n *Controller) {
	x.end(n)
	delete(x.nodes, n.Self.Label)
}

// each does something to every machine.
func (x *trial) each(f func(m *machine)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.machines {
		f(m)
	}
}

// Meetings of two troubles in which rules broke elsewhere. Each starts with a
// job on every machine; the trial watches the rules that hold at any moment.
func TestMeetings(t *testing.T) {
	const long = lease + 15*time.Second
	for _, c := range []struct {
		name string
		do   func(x *trial)
	}{
		{"a zone with a controller is cut off for longer than a lease", func(x *trial) {
			n := x.others(x.leader())[0]
			inside := x.of(n)
			x.way[n.Self.Label].set(true)
			x.each(func(m *machine) {
				for _, label := range []string{"a", "b", "c"} {
					m.cut[label] = (m == inside) != (label == n.Self.Label)
				}
				m.holding = m == inside
			})
			x.run(4 * time.Second)
			x.end(n)
			x.run(cancel)
			x.way[n.Self.Label].set(false)
			x.each(func(m *machine) { clear(m.cut); m.holding = false })
			x.run(20 * time.Second)
			x.want("after the cut", "wk-1", 12, 0)
		}},
		{"the leader ends, machines can't be reached for less than a lease", func(x *trial) {
			x.each(func(m *machine) { m.outboundCut, m.holding = true, true })
			x.away(x.leader())
			x.run(lease - 8*time.Second)
			x.each(func(m *machine) { m.outboundCut, m.holding = false, false })
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines don't hear the new one's answers for less than a lease", func(x *trial) {
			x.each(func(m *machine) { m.inboundCut = true })
			x.away(x.leader())
			x.run(lease - 8*time.Second)
			x.each(func(m *machine) { m.inboundCut = false })
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines can't be reached for longer", func(x *trial) {
			x.each(func(m *machine) { m.outboundCut, m.holding = true, true })
			x.away(x.leader())
			x.run(long)
			x.each(func(m *machine) { m.outboundCut, m.holding = false, false })
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 2)
		}},
		{"the leader ends, machines don't hear for longer", func(x *trial) {
			x.each(func(m *machine) { m.inboundCut = true })
			x.away(x.leader())
			x.run(long)
			x.each(func(m *machine) { m.inboundCut = false })
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 2)
		}},
		{"all controllers are away for longer than a lease", func(x *trial) {
			x.submit(x.leader(), work("wk-2", 1))
			if !x.cancelAt(x.leader(), "wk-2") {
				x.t.Fatal("not confirmed")
			}
			for _, n := range x.others(nil) {
				x.away(n)
			}
			x.run(long)
			for _, label := range []string{"a", "b", "c"} {
				x.restart(label)
			}
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 2)
			x.answers("after it", "wk-1", wire.StateRunning)
			x.answers("after it", "wk-2", wire.StateCancelled)
		}},
		{"leaders change ten times in two minutes, also inside an outage", func(x *trial) {
			token := x.leader().membershipToken()
			for i := range 10 {
				if i == 5 {
					for _, w := range x.way {
						w.set(true)
					}
					x.run(10 * time.Second)
					for _, w := range x.way {
						w.set(false)
					}
				}
				x.end(x.leader())
				x.run(12 * time.Second)
				if now := x.leader().membershipToken(); now <= token {
					x.t.Fatalf("token %d after %d", now, token)
				} else {
					token = now
				}
			}
			x.want("after it", "wk-1", 12, 1)
		}},
		{"controllers hand over and back, all end, one returns within a second", func(x *trial) {
			for range 2 {
				x.end(x.leader())
				x.run(2 * time.Second)
			}
			for _, n := range x.others(nil) {
				x.away(n)
			}
			x.restart("b")
			x.run(15 * time.Second)
			x.want("with one back", "wk-1", 12, 1)
			x.restart("a")
			x.restart("c")
			x.run(15 * time.Second)
			x.want("with all back", "wk-1", 12, 1)
		}},
		{"a leader without state service and siblings goes on for its workers, jobs are cancelled through the new one", func(x *trial) {
			old := x.leader()
			inside := x.of(old)
			x.way[old.Self.Label].set(true)
			x.each(func(m *machine) {
				if m == inside {
					m.holding = true
					for _, n := range x.others(old) {
						m.cut[n.Self.Label] = true
					}
				}
			})
			x.run(4 * time.Second)
			x.end(old)
			x.run(3 * time.Second)
			if !x.cancelAt(x.others(old)[0], "wk-1") {
				x.t.Fatal("not confirmed")
			}
			if code, st, _ := ask(old, "GET", "/work/wk-1", nil); code == 200 {
				x.t.Errorf("the old leader says %+v", st)
			}
			x.run(cancel + 5*time.Second)
			x.want("in time", "wk-1", 0, 1)
			x.way[old.Self.Label].set(false)
			x.each(func(m *machine) { clear(m.cut); m.holding = false })
			x.run(15 * time.Second)
			x.answers("after it", "wk-1", wire.StateCancelled)
			x.full("wk-2")
		}},
		{"jobs are cancelled in the seconds in which a controller's work changes hands", func(x *trial) {
			x.cancelAt(x.leader(), "wk-1")
			x.run(5 * time.Second)
			for i := range 6 {
				jobID := fmt.Sprintf("wk-%d", 10+i)
				x.full(jobID)
				n := x.others(x.leader())[0]
				if i%3 == 2 {
					x.restart(n.Self.Label) // back within a second
				} else {
					x.end(n)
				}
				x.run(time.Duration(i/2) * time.Second)
				if !x.cancelAt(x.leader(), jobID) {
					x.t.Fatal("not confirmed")
				}
				x.run(10 * time.Second)
				x.want("10 s later", jobID, 0, 1)
			}
		}},
		{"a report is held back until a new leader has acted", func(x *trial) {
			var held []wire.Heartbeat
			x.each(func(m *machine) { held = append(held, m.last) })
			x.each(func(m *machine) { m.outboundCut, m.holding = true, true })
			x.away(x.leader())
			x.run(5 * time.Second)
			for _, n := range x.nodes {
				for _, r := range held {
					n.take(&r)
				}
			}
			x.submit(x.leader(), work("wk-2", 1))
			x.run(lease)
			for _, n := range x.nodes {
				for _, r := range held {
					n.take(&r)
				}
				n.Lock()
				for host, w := range n.Workers.ByMachine {
					if w.State == worker.TokenAcknowledged {
						x.t.Errorf("%s is %s by an old report", host, w.State)
					}
				}
				n.Unlock()
			}
			x.each(func(m *machine) { m.outboundCut, m.holding = false, false })
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 2)
		}},
		{"machines reach no controller while direct calls reach them", func(x *trial) {
			m := x.machines[0]
			m.outboundCut = true
			x.run(lease - 4*time.Second)
			x.want("within the lease", "wk-1", 12, 1)
			if !x.cancelAt(x.leader(), "wk-1") {
				x.t.Fatal("not confirmed")
			}
			x.run(2 * time.Second)
			x.want("the kill comes directly", "wk-1", 0, 1)
			if n, _ := x.owner(m.Host); n.MachineIndex.RefreshMachines(x.clk.now()).Machine(m.Host).Schedulable {
				x.t.Error("it has just been heard, and takes tasks, which would end with its lease")
			}
			m.outboundCut = false
			x.run(10 * time.Second)
			x.full("wk-2")
		}},
		{"new machines get work at once while writes lag, and the leader ends", func(x *trial) {
			l := x.leader()
			x.join("h90")
			x.join("h91")
			x.submit(l, work("wk-2", 8))
			for _, w := range x.way {
				w.late = 2
			}
			x.run(2 * time.Second)
			x.away(l)
			x.run(2 * time.Second)
			for _, w := range x.way {
				w.carryOut()
				w.late = 0
			}
			x.run(20 * time.Second)
			x.want("after it", "wk-1", 12, 1)
			x.want("after it", "wk-2", 8, 1)
		}},
		{"there is more work than room, urgent and not, over slow links", func(x *trial) {
			x.cancelAt(x.leader(), "wk-1")
			x.run(5 * time.Second)
			x.each(func(m *machine) {
				m.ImageTime = 15 * time.Second
				m.holding = m == x.machines[0] // its direct calls come late
			})
			late := 0
			goOn := func(seconds int) {
				for range seconds {
					if late++; late%10 == 0 {
						x.mu.Lock()
						m := x.machines[0]
						held := m.calls
						m.calls = nil
						for _, call := range held {
							m.Take(x.clk.now(), call)
						}
						x.mu.Unlock()
					}
					x.step()
				}
			}
			submit := func(jobID, priority string, d time.Duration) {
				wk := work(jobID, 6)
				wk.Priority = priority
				x.runs[jobID] = d
				x.submit(x.leader(), wk)
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
				x.answers("urgent work goes first", jobID, wire.StateDone)
			}
			goOn(600)
			for i := range 6 {
				x.answers("the rest is not forgotten", fmt.Sprintf("wk-%d", 10+i), wire.StateDone)
			}
		}},
		{"jobs of two or three tasks end far apart across a change of leader", func(x *trial) {
			x.cancelAt(x.leader(), "wk-1")
			x.run(5 * time.Second)
			x.runs["wk-2"] = 12 * time.Second
			x.submit(x.leader(), work("wk-2", 3))
			x.run(6 * time.Second)
			x.mu.Lock()
			last := 0
			for _, m := range x.machines {
				for _, task := range m.Tasks {
					if task.JobID == "wk-2" && last == 0 {
						task.Ends = x.clk.now().Add(40 * time.Second)
						last++
					}
				}
			}
			x.mu.Unlock()
			x.run(10 * time.Second)
			x.away(x.leader())
			x.run(20 * time.Second)
			x.answers("with one task left", "wk-2", wire.StateRunning)
			x.run(20 * time.Second)
			x.answers("after it", "wk-2", wire.StateDone)
			x.want("after it", "wk-2", 0, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTrial(t, 1, 1000)
			x.full("wk-1")
			c.do(x)
		})
	}
}

// Every team is at its limit while a job is cancelled whose machines are cut
// off, hang or don't hear, and the leader changes: others get the room within
// 90 s of the end of the trouble, and the limit holds all the while.
func TestATeamAtItsLimit(t *testing.T) {
	for _, trouble := range []struct {
		name    string
		on, off func(m *machine)
	}{
		{"hang", func(m *machine) { m.hung = true }, func(m *machine) { m.hung = false }},
		{"are cut off", func(m *machine) { m.outboundCut, m.holding = true, true }, func(m *machine) { m.outboundCut, m.holding = false, false }},
		{"don't hear", func(m *machine) { m.inboundCut = true }, func(m *machine) { m.inboundCut = false }},
	} {
		for _, d := range []time.Duration{lease / 2, lease + 10*time.Second} {
			for _, when := range []string{"before", "after"} {
				t.Run(fmt.Sprintf("machines %s for %v, the leader ends %s the cancellation", trouble.name, d, when), func(t *testing.T) {
					x := newTrial(t, 1, 8)
					x.patience = lease // a start that is held comes as late as the lease allows
					x.submit(x.leader(), work("wk-1", 5))
					x.run(8 * time.Second)
					x.each(trouble.on)
					x.submit(x.leader(), work("wk-2", 3)) // claimed, and never heard of
					x.step()
					if when == "before" {
						x.away(x.leader())
						x.run(2 * time.Second)
					}
					for _, jobID := range []string{"wk-1", "wk-2"} {
						if !x.cancelAt(x.others(nil)[0], jobID) {
							t.Fatal("not confirmed")
						}
					}
					x.submit(x.others(nil)[0], work("wk-3", 8))
					if when == "after" {
						x.away(x.leader())
					}
					x.run(d)
					x.each(trouble.off)
					x.run(90 * time.Second)
					x.want("90 s after the trouble", "wk-3", 8, 0)
				})
			}
		}
	}
}

// Users ask at every node in the same instant in which another has told one
// that a job is accepted, done or cancelled, and repeat what they sent. Some
// nodes have not heard of it yet, and some answers of the state service are
// lost. Nobody answers anything older.
func TestNoNodeAnswersAnythingOlder(t *testing.T) {
	type told struct {
		code  int
		phase string
	}
	done := func(x *trial) {
		x.runs["wk-1"] = time.Second
		x.submit(x.nodes["a"], work("wk-1", 1))
		x.run(12 * time.Second)
	}
	for _, lost := range []bool{false, true} {
		for _, c := range []struct {
			name  string
			do    func(x *trial) (method, path string, body any)
			first []told // what the first user may be told
			then  string // what all others are told
		}{
			{"accepted", func(x *trial) (string, string, any) { return "POST", "/work", work("wk-1", 1) },
				[]told{{201, wire.StateQueued}, {200, wire.StateQueued}}, wire.StateQueued},
			{"cancelled", func(x *trial) (string, string, any) {
				x.submit(x.nodes["a"], work("wk-1", 1))
				return "POST", "/work/wk-1/cancel", nil
			}, []told{{200, wire.StateCancelled}}, wire.StateCancelled},
			{"cancelled when it was done", func(x *trial) (string, string, any) { done(x); return "POST", "/work/wk-1/cancel", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
			{"done", func(x *trial) (string, string, any) { done(x); return "GET", "/work/wk-1", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
		} {
			t.Run(fmt.Sprintf("%s, an answer lost: %v", c.name, lost), func(t *testing.T) {
				x := newTrial(t, 1, 1000)
				method, path, body := c.do(x)
				if lost && method == "POST" && c.then != wire.StateDone {
					x.st.Lose = 1
				}
				code, st, _ := ask(x.nodes["b"], method, path, body)
				ok := false
				for _, f := range c.first {
					ok = ok || f == told{code, st.State}
				}
				if !ok {
					t.Fatalf("the first user is told %d %+v", code, st)
				}
				for _, label := range []string{"c", "a", "b"} {
					n := x.nodes[label]
					if code, st, _ := ask(n, "GET", "/work/wk-1", nil); code != 200 || st.State != c.then {
						t.Errorf("%s says %d %+v", label, code, st)
					}
					if code, st, _ := ask(n, "POST", "/work", work("wk-1", 1)); code != 200 && code != 201 || st.State != c.then {
						t.Errorf("%s answers a repeat by %d %+v", label, code, st)
					}
					if c.then != wire.StateQueued {
						if code, st, _ := ask(n, "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != c.then {
							t.Errorf("%s answers a cancellation by %d %+v", label, code, st)
						}
					}
					if code, _, _ := ask(n, "POST", "/work", map[string]any{"ref": "wk-1"}); code != 200 {
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
func TestACancellationMeetsTheEndOfTheLastTask(t *testing.T) {
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
			x := newTrial(t, 1, 1000)
			x.submit(x.leader(), work("wk-1", 1))
			x.run(8 * time.Second)
			x.mu.Lock()
			for _, m := range x.machines {
				for _, task := range m.Tasks {
					task.State, task.ExitCause = wire.TaskExited, wire.ExitCauseDone
				}
			}
			x.mu.Unlock()
			x.each(func(m *machine) { m.due = x.clk.now(); x.live(m) })
			var writes []func()
			for _, n := range x.others(nil) {
				n.Lock()
				txns := n.scheduler.Schedule()
				n.Unlock()
				for _, t := range txns {
					writes = append(writes, func() { n.scheduler.Commit(context.Background(), t) })
				}
			}
			if len(writes) == 0 {
				t.Fatal("the end is not to be stored")
			}
			end := func() {
				if c.lose {
					x.st.Lose = 1
				}
				for _, f := range writes {
					f()
				}
			}
			if !c.before {
				end()
			}
			n := x.others(x.leader())[0] // it has not heard of the end
			x.confirmed["wk-1"] = x.clk.now()
			if code, st, _ := ask(n, "POST", "/work/wk-1/cancel", nil); code != 200 || st.State != c.want {
				t.Fatalf("the user is told %d %+v, want %s", code, st, c.want)
			}
			if c.before {
				end()
			}
			x.answers("at once", "wk-1", c.want)
			if code, st, _ := ask(x.leader(), "POST", "/work", work("wk-1", 1)); code != 200 || st.State != c.want {
				t.Errorf("a repeat is told %d %+v", code, st)
			}
			x.run(15 * time.Second)
			x.answers("later", "wk-1", c.want)
			x.full("wk-2")
		})
	}
}

// A transaction without an answer is carried out late, after newer ones of the
// same node and of others, in every kind of write.
func TestWritesThatAreCarriedOutLate(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(x *trial, hold func(n *Controller), carryOut func())
	}{
		{"an acceptance, the user goes elsewhere and cancels", func(x *trial, hold func(*Controller), carryOut func()) {
			hold(x.nodes["a"])
			if code, _, _ := ask(x.nodes["a"], "POST", "/work", work("wk-2", 1)); code != 503 {
				x.t.Fatalf("answered %d", code)
			}
			x.submit(x.nodes["b"], work("wk-2", 1))
			if !x.cancelAt(x.nodes["c"], "wk-2") {
				x.t.Fatal("not confirmed")
			}
			carryOut()
			x.answers("at once", "wk-2", wire.StateCancelled)
			x.step()
			x.answers("later", "wk-2", wire.StateCancelled)
		}},
		{"an acceptance, and nobody asks before", func(x *trial, hold func(*Controller), carryOut func()) {
			hold(x.nodes["a"])
			ask(x.nodes["a"], "POST", "/work", work("wk-2", 1))
			carryOut()
			if code, _, _ := ask(x.nodes["b"], "POST", "/work", work("wk-2", 1)); code != 200 && code != 201 {
				x.t.Errorf("the repeat gets %d", code)
			}
			x.cancelAt(x.nodes["c"], "wk-2")
		}},
		{"a cancellation, the job ends before", func(x *trial, hold func(*Controller), carryOut func()) {
			x.cancelAt(x.leader(), "wk-1")
			x.run(5 * time.Second)
			x.runs["wk-2"] = 2 * time.Second
			x.submit(x.nodes["a"], work("wk-2", 1))
			hold(x.nodes["a"])
			x.way["a"].cut = true
			if x.cancelAt(x.nodes["a"], "wk-2") {
				x.t.Fatal("confirmed without an answer")
			}
			x.way["a"].set(false)
			x.run(15 * time.Second)
			x.answers("before", "wk-2", wire.StateDone)
			carryOut()
			x.step() // final states are answered from the cache
			x.answers("after", "wk-2", wire.StateDone)
		}},
		{"a cancellation, and nothing else", func(x *trial, hold func(*Controller), carryOut func()) {
			hold(x.nodes["a"])
			x.way["a"].cut = true
			if x.cancelAt(x.nodes["a"], "wk-1") {
				x.t.Fatal("confirmed without an answer")
			}
			x.way["a"].set(false)
			x.run(5 * time.Second)
			carryOut()
			x.confirmed["wk-1"] = x.clk.now()
			x.run(5 * time.Second)
			x.answers("after", "wk-1", wire.StateCancelled)
			x.want("after", "wk-1", 0, 1)
		}},
		{"claims and shares, at every node", func(x *trial, hold func(*Controller), carryOut func()) {
			x.cancelAt(x.leader(), "wk-1")
			x.run(5 * time.Second)
			x.submit(x.nodes["a"], work("wk-2", 12))
			for _, n := range x.others(nil) {
				hold(n)
			}
			x.run(6 * time.Second)
			carryOut()
			x.run(10 * time.Second)
			x.want("after", "wk-2", 12, 1)
		}},
		{"releases, at every node", func(x *trial, hold func(*Controller), carryOut func()) {
			x.cancelAt(x.leader(), "wk-1")
			for _, n := range x.others(nil) {
				hold(n)
			}
			x.run(6 * time.Second)
			x.submit(x.nodes["a"], work("wk-2", 12))
			x.run(6 * time.Second)
			carryOut()
			x.run(10 * time.Second)
			x.want("after", "wk-2", 12, 1)
		}},
		{"sessions and memberships", func(x *trial, hold func(*Controller), carryOut func()) {
			for _, n := range x.others(nil) {
				hold(n)
			}
			x.end(x.leader())
			x.run(6 * time.Second)
			carryOut()
			x.run(6 * time.Second)
			x.end(x.leader())
			x.run(6 * time.Second)
			x.want("after", "wk-1", 12, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTrial(t, 1, 12)
			x.full("wk-1")
			c.do(x, func(n *Controller) { x.way[n.Self.Label].late = 1 }, func() {
				for _, w := range x.way {
					w.carryOut()
				}
			})
			x.run(15 * time.Second)
			n := x.leader()
			n.Lock()
			used := n.Table.ResourcesByTeam["x"].GPUs
			n.Unlock()
			running := 0
			for _, jobID := range []string{"wk-1", "wk-2"} {
				running += x.everywhere(jobID)
			}
			if float64(running) != used {
				t.Errorf("%d tasks run, %v are claimed", running, used)
			}
		})
	}
}

// One-task jobs come four a second, a quarter of them is cancelled: none is left
// behind, none waits for long, and each costs a handful of changes.
func TestAStreamOfOneTaskJobs(t *testing.T) {
	x := newTrial(t, 3, 1000)
	for _, m := range x.machines {
		m.ImageTime = time.Second
	}
	x.patience = 5 * time.Second // images under way
	begun := len(x.st.Events)
	const seconds = 40
	jobs := 0
	cancelled := map[int]bool{}
	for s := range seconds + 20 {
		for k := range 4 {
			if s >= seconds {
				break
			}
			jobID := fmt.Sprintf("wk-%d", jobs)
			x.runs[jobID] = 5 * time.Second
			x.submit(x.others(nil)[(s+k)%3], work(jobID, 1))
			jobs++
		}
		if back := jobs - 1 - 4*((5*s)%7); s < seconds && back >= 0 { // at once, or when it runs, or is over
			jobID := fmt.Sprintf("wk-%d", back)
			_, st, _ := ask(x.others(nil)[s%3], "POST", "/work/"+jobID+"/cancel", nil)
			if st.State == wire.StateCancelled {
				cancelled[back] = true
				x.confirmed[jobID] = x.clk.now()
			}
		}
		x.step()
	}
	n := x.leader()
	for i := range jobs {
		want := wire.StateDone
		if cancelled[i] {
			want = wire.StateCancelled
		}
		if st, known, _ := n.api.LookupJob(fmt.Sprintf("wk-%d", i)); !known || st.State != want {
			t.Errorf("wk-%d: %+v, want %s", i, st, want)
		}
	}
	if len(n.Table.ClaimsByMachine) != 0 {
		t.Errorf("claims are left on %d machines", len(n.Table.ClaimsByMachine))
	}
	if len(cancelled) < seconds/2 {
		t.Errorf("%d cancelled: nothing is tested", len(cancelled))
	}
	if changes := len(x.st.Events) - begun; changes > 5*jobs {
		t.Errorf("%d changes for %d jobs", changes, jobs)
	} else {
		t.Logf("%d changes for %d jobs, %d cancelled", changes, jobs, len(cancelled))
	}
}
