package controller

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/golden"
	"wheatspur/wire"
)

// pairWorker is a scripted worker of one node of a pair.
type pairWorker struct {
	fake.Worker
	node string
}

// worker is a worker on the n-th machine of a node. Tasks of the job wk-10 end
// after a second, others never.
func (c *portCluster) worker(node string, nth int) *pairWorker {
	return &pairWorker{node: node, Worker: fake.Worker{Host: c.hostOf(node, nth), Address: "10.9.9.9:1", Type: "g", Zone: "z",
		Session: 1, Tasks: map[string]*fake.Task{}, Begins: func(_ *fake.Worker, t *fake.Task) time.Duration {
			if t.JobID == "wk-10" {
				return time.Second
			}
			return 0
		}}}
}

// report sends the worker's heartbeat and carries out what it is told.
func (w *pairWorker) report(c *portCluster, p *port) {
	p.t.Helper()
	now := c.clk.now()
	w.Advance(now)
	a := p.ask(request{"", "POST", "/checkin", w.Report()})
	var r wire.HeartbeatResponse
	if err := wire.Unmarshal(a.body, &r); a.code() != 200 || err != nil {
		p.t.Fatalf("heartbeat of %s: %v", w.Host, a)
	}
	if w.Answered(now, r) {
		w.CarryOut(now, r.Commands)
	}
}

// busyPair is a pair of nodes with machines of both roles, teams with limits and
// guarantees, and jobs in every phase: done, running, without room, beyond the
// team's limit, waiting for others, cancelled and cancelled with others.
func busyPair(t *testing.T) *portCluster {
	t.Helper()
	c := newPair(t, func(s *config.Settings) {
		s.Params.Teams = []config.Team{
			{Name: "x", GPUsMax: 8},
			{Name: "y", CPUs: 16, GPUs: 6, CPUsMax: 32, GPUsMax: 8},
			{Name: "z"},
		}
		s.Operator.QuotaReservations = true
	})
	workers := []*pairWorker{c.worker("a", 0), c.worker("b", 0), c.worker("a", 1)}
	ports := map[string]*port{"a": c.user(t, "a"), "b": c.user(t, "b")}
	turn := func() {
		for range 3 {
			c.clk.add(time.Second)
			c.sync()
			for _, w := range workers {
				w.report(c, ports[w.node])
			}
			c.tellStatus("a", "b")
			c.tellStatus("b", "a")
			c.round()
		}
	}
	for i, role := range []string{"batch", "batch", "service"} {
		c.addHost(workers[i].Host, role)
	}
	turn()
	submit := func(spec wire.JobSpec, team string, dependsOn ...string) {
		spec.Team, spec.DependsOn = team, dependsOn
		c.submit(c.nodes["a"], spec)
	}
	submit(work("wk-10", 1), "x")
	turn()
	turn()
	submit(work("wk-11", 3), "x")
	submit(service("wk-12", 2), "y")
	turn()
	submit(work("wk-13", 9), "x")
	big := service("wk-14", 1)
	big.CPUs, big.GPUs, big.RAMGB = 8, 4, 64
	submit(big, "y")
	submit(service("wk-15", 1), "z")
	submit(work("wk-16", 1), "x", "wk-11", "wk-10", "wk-13")
	submit(work("wk-17", 1), "y", "wk-16")
	turn()
	turn()
	submit(work("wk-18", 1), "z", "wk-11")
	submit(work("wk-19", 1), "z", "wk-18")
	submit(work("wk-20", 1), "z", "wk-19")
	if a := ports["a"].ask(request{"", "POST", "/work/wk-18/cancel", nil}); a.code() != 200 {
		t.Fatal(a)
	}
	c.sync()
	c.decideSplits()
	return c
}

// The page of operators, of the leader and of another node: whole, of every job
// and of every team.
func TestStatusPages(t *testing.T) {
	c := busyPair(t)
	var s transcript
	for _, label := range []string{"a", "b"} {
		p := c.user(t, label)
		page := func(name, query string) {
			s.askEach(p, request{"node " + label + ": " + name, "GET", "/status" + query, nil})
		}
		page("whole", "")
		for _, jobID := range []string{"wk-10", "wk-11", "wk-12", "wk-13", "wk-14", "wk-15", "wk-16", "wk-17", "wk-18", "wk-19", "wk-20", "wk-77", "seven"} {
			page("job "+jobID, "?job="+jobID)
		}
		for _, team := range []string{"x", "y", "z", "q"} {
			page("team "+team, "?team="+team)
		}
		page("both are named", "?team=x&job=wk-10")
		page("neither is named", "?job=&team=")
		page("another query", "?verbose=1")
	}
	c.damageTeam("x")
	s.askEach(c.user(t, "a"), request{"damaged shares", "GET", "/status?team=x", nil})
	golden.Text(t, "status.golden", s.String(), *update)
}

// The page of a node before its first read, beside an older version, with more
// rows than it shows, without the state service, and while it stops.
func TestStatusPagesOfNodesInUnusualStates(t *testing.T) {
	var s transcript
	page := func(name string, p *port) { s.askEach(p, request{name, "GET", "/status", nil}) }
	page("before the first read", userPort(t, newUnread(t)))

	c := newPair(t, nil)
	c.old("b", true)
	page("beside an older version", c.user(t, "a"))

	c = newCluster(t, nil)
	p := c.user(t, "a")
	c.submit(c.nodes["a"], service("wk-1", 1))
	c.waitingJobs(52, "wk-1")
	page("more rows than are shown", p)
	if a := p.ask(request{"", "POST", "/work/wk-1/cancel", nil}); a.code() != 200 {
		t.Fatal(a)
	}
	page("more rows of cancelled jobs than are shown", p)
	c.st.Down = true
	c.clk.add(time.Minute)
	page("without the state service", p)
	c.st.Down = false
	c.refresh("a")
	c.drain("a")
	page("stopping", p)
	golden.Text(t, "status-unusual.golden", s.String(), *update)
}

// Every metric with its help, type, labels and values.
func TestMetricsPages(t *testing.T) {
	c := busyPair(t)
	var s transcript
	for _, label := range []string{"a", "b"} {
		p := c.user(t, label)
		for _, r := range []request{
			{"", "GET", "/up", nil}, {"", "GET", "/nothing", nil}, {"", "PUT", "/work", nil}, {"", "GET", "/work/wk-10", nil},
			{"", "POST", "/work", []byte("{")}, {"", "POST", "/work/wk-77/cancel", nil}, {"", "POST", "/checkin", []byte("{")},
		} {
			p.ask(r)
		}
		s.askEach(p, request{"node " + label, "GET", "/metrics", nil})
	}
	golden.Text(t, "metrics.golden", s.String(), *update)
}

// Metrics of a node before its first read, of one whose writes fail and of one
// that stops; and metrics that can't be gathered.
func TestMetricsPagesOfNodesInUnusualStates(t *testing.T) {
	var s transcript
	page := func(name string, p *port) { s.askEach(p, request{name, "GET", "/metrics", nil}) }
	page("before the first read", userPort(t, newUnread(t)))

	c := newCluster(t, nil)
	p := c.user(t, "a")
	c.addHost("h1", "batch")
	for _, failure := range []struct {
		name, jobID string
		begin       func()
	}{
		{"refused", "wk-1", func() { c.st.Down = true }},
		{"in conflict", "wk-2", func() { c.changeMembership() }},
		{"without an answer", "wk-3", func() { c.st.Lose = 1 }},
	} {
		c.prove("h1", 1)
		c.submit(c.nodes["a"], work(failure.jobID, 1))
		failure.begin()
		c.passOnce("a")
		page("a claim "+failure.name, p)
		s.askEach(p, request{"a team after a claim " + failure.name, "GET", "/status?team=x", nil})
		c.st.Down = false
		c.sync()
	}
	c.drain("a")
	p.ask(request{"", "POST", "/work", []byte("{")})
	page("stopping", p)

	c = newCluster(t, func(s *config.Settings) { s.Params.Teams = append(s.Params.Teams, s.Params.Teams[0]) })
	page("a team twice", c.user(t, "a"))
	golden.Text(t, "metrics-unusual.golden", s.String(), *update)
}
