package server

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/fleet"
	"wheatspur/internal/httpc"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// checkin answers a worker's report.
func (n *Node) checkin(c *fasthttp.RequestCtx) {
	var r wire.Checkin
	if err := wire.Unmarshal(c.PostBody(), &r); err != nil || r.Host == "" || r.Stint == 0 {
		refuse(c, 400, "malformed report")
		return
	}
	n.mu.Lock()
	status, body := n.report(&r)
	n.mu.Unlock()
	reply(c, status, body)
}

// report decides the answer to a report; mu is held.
func (n *Node) report(r *wire.Checkin) (int, any) {
	now := n.now()
	if !n.entitled() {
		return 503, wire.Failure{Error: "not a member"}
	}
	if r.Baton > n.member.Baton {
		// Somebody newer is entitled; a 200 of ours would hold the worker here
		// while its lease runs out.
		wake(n.mkick)
		return 503, wire.Failure{Error: "superseded"}
	}
	stale := now.Sub(n.sync.Fresh())
	if stale > n.set.AnswerBound() || stale > tuning.StateStale && n.superseded() {
		// Leases that this node renews must end before a cancellation that it
		// can't read is due.
		return 421, wire.Redirect{}
	}
	if owner := n.member.Owner(r.Host); owner != n.self.Label {
		return 421, wire.Redirect{Foreman: owner}
	}
	w := n.worker(r.Host)
	if w.State == fleet.Expired && r.Stint <= w.Stint {
		return 503, wire.Failure{Error: "session has ended"}
	}
	n.observe(w, r, now)
	w.Answered = now
	orders := w.Orders(n.table.Hosts[r.Host], stale < tuning.StateStale && n.open(r.Host))
	if orders == nil {
		orders = []wire.Order{}
	}
	return 200, wire.Orders{Baton: n.member.Baton, Orders: orders}
}

// open reports whether stored claims on a machine may be started: it is not
// known to be gone; mu is held.
func (n *Node) open(host string) bool {
	rec, ok := n.hosts[host]
	return ok && rec.Phase != fleet.Returned
}

func (n *Node) worker(host string) *fleet.Worker {
	w := n.workers[host]
	if w == nil {
		w = fleet.NewWorker(host)
		n.workers[host] = w
	}
	return w
}

// observe enters a report and what follows from it; mu is held.
func (n *Node) observe(w *fleet.Worker, r *wire.Checkin, now time.Time) {
	before := make(map[jobs.ID]string, len(w.Shards))
	for id, s := range w.Shards {
		before[id] = s.Phase
	}
	if !w.Observe(r, n.member.Baton, now) {
		return
	}
	for id, s := range w.Shards {
		j := n.table.Jobs[id.Ref]
		if before[id] != s.Phase {
			n.log.Debug("task changes", "task", id, "try", s.Try, "phase", s.Phase, "cause", s.Cause, "host", w.Host)
		}
		if j == nil || j.Record.Work == nil {
			continue
		}
		switch s.Phase {
		case wire.ShardRunning:
			w.NoteImage(j.Record.Work.Bundle)
		case wire.ShardExited:
			switch s.Cause {
			case wire.CauseDone:
				clear(w.Errors)
			case wire.CauseError:
				w.Errors[id.Ref] = true
			case wire.CauseNoRoom:
				w.Refused = now
			}
		}
	}
	if !w.TakenAt.IsZero() {
		// The cloud takes the machine: what can't end in time starts elsewhere.
		left := time.Duration(float64(w.TakenAt.Sub(now)) * tuning.WarningKillFactor)
		for id, j := range n.table.Hosts[w.Host] {
			if wk := j.Record.Work; wk != nil && (j.Service() || wk.ReckonS > left.Seconds()) {
				w.Stopping[id] = true
			}
		}
	}
	wake(n.kick)
}

// caller sends direct commands to workers.
type caller interface {
	commands(address string, cmd wire.Commands) (int, *wire.Checkin, error)
	show(address string) error
}

type workerCaller struct{ hc *fasthttp.Client }

func newWorkerCaller() *workerCaller { return &workerCaller{httpc.Many(tuning.WorkerConns)} }

func (w *workerCaller) commands(address string, cmd wire.Commands) (int, *wire.Checkin, error) {
	status, body, err := httpc.Do(w.hc, "POST", address, "/commands", wire.MustMarshal(cmd), tuning.WorkerCallTimeout)
	if err != nil {
		return 0, nil, err
	}
	if status != 200 && status != 409 {
		return status, nil, fmt.Errorf("worker answered %d", status)
	}
	var r wire.Checkin
	if err := wire.Unmarshal(body, &r); err != nil {
		return 0, nil, err
	}
	return status, &r, nil
}

func (w *workerCaller) show(address string) error {
	status, _, err := httpc.Do(w.hc, "GET", address, "/show", nil, tuning.WorkerCallTimeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("worker answered %d", status)
	}
	return err
}

// direct sends a worker what it should not wait a report interval for: starts,
// kills, and our baton if it has not shown it; mu is held.
func (n *Node) direct(w *fleet.Worker, now time.Time) {
	if w.Calling || w.Address == "" || w.State == fleet.Expired || !n.hasState() {
		return
	}
	var orders []wire.Order
	if w.Stint > 0 && now.Sub(w.Heard) < time.Duration(tuning.SilentReports*float64(n.set.Report())) {
		for _, o := range w.Orders(n.table.Hosts[w.Host], n.open(w.Host)) {
			if o.Verb == wire.VerbReap {
				continue // see fleet.Worker.Orders
			}
			ref, task, ok := jobs.ParseShard(o.Shard)
			a := fleet.Attempt{ID: jobs.ID{Ref: ref, Task: task}, Try: o.Try}
			if ok && now.Sub(w.Sent[a]) > n.set.Report() {
				orders = append(orders, o)
			}
		}
	}
	greet := w.State == fleet.Unproven && now.Sub(w.Heard) > n.set.Report()*5/4 && now.Sub(n.raisedAt) > time.Second/2
	if len(orders) == 0 && !greet || len(orders) == 0 && now.Sub(w.Called) < tuning.GreetPause {
		return
	}
	select {
	case n.calls <- struct{}{}:
	default:
		return // the buffer of direct calls is full; the next report carries them
	}
	for a, at := range w.Sent {
		if now.Sub(at) > 10*n.set.Report() {
			delete(w.Sent, a)
		}
	}
	for _, o := range orders {
		if ref, task, ok := jobs.ParseShard(o.Shard); ok {
			w.Sent[fleet.Attempt{ID: jobs.ID{Ref: ref, Task: task}, Try: o.Try}] = now
		}
	}
	starts := fleet.Starts(orders)
	w.StartSent(starts, n.member.Baton)
	w.Called, w.Calling = now, true
	if orders == nil {
		orders = []wire.Order{}
	}
	go n.callWorker(w, w.Address, wire.Commands{Baton: n.member.Baton, Stint: max(w.Stint, 1), Orders: orders}, starts)
}

func (n *Node) callWorker(w *fleet.Worker, address string, cmd wire.Commands, starts []fleet.Attempt) {
	defer func() { <-n.calls }()
	_, r, err := n.call.commands(address, cmd)
	n.mu.Lock()
	defer n.mu.Unlock()
	w.Calling = false
	if err != nil {
		// The starts may yet be carried out: they stay unanswered.
		n.log.Debug("direct call failed", "host", w.Host, "err", err)
		return
	}
	w.StartAnswered(starts, cmd.Baton)
	if n.workers[w.Host] == w && r.Host == w.Host && n.entitled() && r.Baton <= n.member.Baton {
		n.observe(w, r, n.now())
	}
	wake(n.kick)
}

// machines builds the pass's picture of the fleet; mu is held.
func (n *Node) machines(now time.Time) []*place.Machine {
	views := map[string]hostRef{}
	for label, s := range n.siblings {
		if !n.freshSibling(s) || s.status.Baton != n.member.Baton {
			continue
		}
		for i := range s.status.Hosts {
			views[s.status.Hosts[i].Name] = hostRef{label, i}
		}
	}
	silent := time.Duration(tuning.SilentReports * float64(n.set.Report()))
	out := make([]*place.Machine, 0, len(n.hosts))
	for host, rec := range n.hosts {
		t := n.rigs[rec.Rig]
		m := &place.Machine{Name: host, Type: rec.Rig, Zone: rec.Plot, Spot: rec.Spot, Role: rec.Role,
			Owner: n.member.Owner(host), Images: map[string]bool{}, FetchGBPerS: t.FetchGBPerS,
			Total: jobs.Resources{CPUs: t.CPUs, GPUs: t.Cards, RAM: t.RAMGB}}
		m.Free = m.Total.Sub(n.table.HostNeed(host))
		w := n.workers[host]
		for id, j := range n.table.Hosts[host] {
			stopping := j.Record.Phase != jobs.Open || w != nil && w.Leaves(id)
			m.Tasks = append(m.Tasks, place.Resident{ID: id, Job: j, Stopping: stopping})
			if stopping {
				m.Freeing = m.Freeing.Add(j.Need)
			}
		}
		if m.Owner == n.self.Label {
			if w != nil {
				m.Stint = w.Stint
				m.Open = rec.Phase == fleet.In && w.State != fleet.Expired && w.Stint > 0 &&
					now.Sub(w.Heard) < silent && w.TakenAt.IsZero() && !n.unfit(w)
				for _, im := range w.Images {
					m.Images[im] = true
				}
			}
		} else if v, ok := views[host]; ok && v.label == m.Owner {
			s := n.siblings[v.label]
			h := &s.status.Hosts[v.i]
			m.Stint = h.Stint
			m.Open = rec.Phase == fleet.In && h.Stint > 0 && h.Age >= 0 && h.Age+now.Sub(s.at) < silent && h.Warning < 0 && !h.Suspect
			for _, im := range h.Images {
				m.Images[im] = true
			}
		}
		out = append(out, m)
	}
	return out
}

// hostRef points at a machine in a sibling's status.
type hostRef struct {
	label string
	i     int
}
