package server

import (
	"context"
	"errors"
	"sort"
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/place"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// txn collects the changes of one guarded write.
type txn struct {
	class  store.Class
	guards map[string]uint64
	then   []wire.Change
	bytes  int
	jobs   []string
	teams  []string
	what   string
	notes  [][]any // log lines for when it is stored
}

func (t *txn) note(msg string, args ...any) { t.notes = append(t.notes, append([]any{msg}, args...)) }

// room reports whether n more changes of the given size fit.
func (n *Node) room(t *txn, changes, bytes, guards int) bool {
	ops := n.set.Params.State.TxnOps
	return len(t.then)+changes <= ops && t.bytes+bytes <= tuning.TxnBytes && len(t.guards)+guards <= 4*ops
}

func (t *txn) set(key string, v any) {
	raw := wire.MustMarshal(v)
	t.then = append(t.then, wire.Change{Set: key, V: raw})
	t.bytes += 2*len(raw) + len(key) // JSON is at most about twice the CBOR
}

func (t *txn) drop(key string) {
	t.then = append(t.then, wire.Change{Drop: key})
	t.bytes += len(key) + 16
}

// runPass runs the owner's part whenever something has changed.
func (n *Node) runPass(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.kick:
		case <-time.After(tuning.TickEvery):
		}
		n.mu.Lock()
		txns := n.pass()
		n.mu.Unlock()
		for _, t := range txns {
			go n.commit(ctx, t)
		}
		sleep(ctx, tuning.PassPause)
	}
	return nil
}

// pass computes the writes of this node and sends what is due to workers; mu
// is held.
func (n *Node) pass() []*txn {
	if !n.entitled() || !n.hasState() {
		return nil
	}
	now := n.now()
	for host, w := range n.workers {
		w.KeepStopping(n.table.Hosts[host])
	}
	for ref, at := range n.served {
		if now.Sub(at) > tuning.PreemptPause {
			delete(n.served, ref)
		}
	}
	for ref, at := range n.notUntil {
		if now.After(at) {
			delete(n.notUntil, ref)
		}
	}
	txns := n.releases(now)
	txns = append(txns, n.finished()...)
	machines := n.machines(now)
	out := place.Pass(n.placeInput(machines, now))
	n.noteUnmet(out, now)
	for _, r := range out.Evict {
		if w := n.workers[n.hostOf(r.Resident)]; w != nil {
			w.Stopping[r.ID] = true
			n.served[r.For] = now
			n.log.Debug("task stopped for a job of higher claim", "task", r.ID, "host", w.Host, "for", r.For)
		}
	}
	n.displace(machines)
	txns = append(txns, n.claims(out.Claims)...)
	for host, w := range n.workers {
		if n.member.Owner(host) == n.self.Label {
			n.direct(w, now)
		}
	}
	return txns
}

func (n *Node) hostOf(r place.Resident) string { return r.Job.Live[r.ID.Task].Host }

func (n *Node) noteUnmet(out place.Output, now time.Time) {
	n.unmet, n.why = out.Unmet, out.Why
	for ref := range n.unmetAt {
		if out.Unmet[ref] == 0 {
			delete(n.unmetAt, ref)
		}
	}
	for ref := range out.Unmet {
		if _, ok := n.unmetAt[ref]; !ok {
			n.unmetAt[ref] = now
		}
	}
}

// placeInput builds the pass's input; mu is held.
func (n *Node) placeInput(machines []*place.Machine, now time.Time) place.Input {
	in := place.Input{Me: n.self.Label, Leader: n.member.Leader.Label, Order: n.member.Order,
		Machines: machines, Teams: map[string]*place.Team{}, Now: now}
	for _, t := range n.set.Params.Teams {
		in.Teams[t.Name] = &place.Team{Used: n.table.Used[t.Name],
			Max:        jobs.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
			Guaranteed: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs}}
	}
	budget := tuning.ClaimsPerPass
	for ref, j := range n.table.Open {
		if j.Counts[jobs.Pending] == 0 {
			continue
		}
		d := &place.Demand{Job: j, Avoid: map[string]bool{}}
		d.Tasks = n.pending(j, min(budget, tuning.TasksPerJob), now)
		for host, w := range n.workers {
			if w.Errors[ref] {
				d.Avoid[host] = true
			}
		}
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		if at, ok := n.unmetAt[ref]; ok {
			d.Pressed = now.Sub(at) > tuning.GuaranteePreemptAfter
		}
		d.Served = now.Sub(n.served[ref]) < tuning.PreemptPause
		d.Blocked = n.busyJob[ref] || now.Before(n.notUntil[ref])
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pending lists up to most pending tasks of a job that may be tried now.
func (n *Node) pending(j *jobs.Job, most int, now time.Time) []int {
	var out []int
	for c := 0; c*j.Record.Chunk < j.Record.Tasks && len(out) < most; c++ {
		tasks := j.Chunks[c] // nil: all pending
		for k := 0; k < j.ChunkLen(c) && len(out) < most; k++ {
			i := c*j.Record.Chunk + k
			if tasks == nil {
				out = append(out, i)
				continue
			}
			if tasks[k].State != jobs.Pending {
				continue
			}
			if errs := tasks[k].Errs; errs > 0 {
				pause := min(tuning.RetryBase<<min(errs-1, 10), tuning.RetryCap)
				if now.Sub(n.table.FailedAt[jobs.ID{Ref: j.Ref, Task: i}]) < pause {
					continue
				}
			}
			out = append(out, i)
		}
	}
	return out
}

// chunkChange is what becomes of some tasks of one chunk.
type chunkChange struct {
	job    *jobs.Job
	chunk  int
	events map[int]jobs.TaskEvent // by task number
}

// apply returns the chunk's tasks after the events; false if one is not due.
func (c *chunkChange) apply() ([]jobs.Task, bool) {
	tasks := c.job.ChunkCopy(c.chunk)
	for i, e := range c.events {
		k := i - c.chunk*c.job.Record.Chunk
		t, err := tasks[k].Next(e)
		if err != nil {
			return nil, false
		}
		tasks[k] = t
	}
	return tasks, true
}

// releases collects the claims whose end is proven on this node's machines.
func (n *Node) releases(now time.Time) []*txn {
	changes := map[string]*chunkChange{}
	add := func(id jobs.ID, kind jobs.TaskEventKind) {
		j := n.table.Jobs[id.Ref]
		chunk := id.Task / j.Record.Chunk
		key := jobs.ChunkKey(id.Ref, chunk)
		if changes[key] == nil {
			changes[key] = &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
		}
		changes[key].events[id.Task] = jobs.TaskEvent{Kind: kind}
	}
	for host, claims := range n.table.Hosts {
		if n.member.Owner(host) != n.self.Label {
			continue
		}
		if n.hosts[host].Phase == fleet.Returned {
			for id := range claims {
				add(id, jobs.Release)
			}
			continue
		}
		if w := n.workers[host]; w != nil {
			for _, r := range w.Proofs(claims, now, n.set.Lease()) {
				add(r.ID, r.Kind)
			}
		}
	}
	keys := make([]string, 0, len(changes))
	for k, c := range changes {
		if !n.busyJob[c.job.Ref] && !now.Before(n.notUntil[c.job.Ref]) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var out []*txn
	for _, key := range keys {
		c := changes[key]
		tasks, ok := c.apply()
		if !ok {
			continue
		}
		t := n.current(&out, "release", 2, n.chunkBytes(c.job), 2, c.job.Ref)
		if t == nil {
			continue
		}
		t.guards[key] = n.cache.Stamp(key)
		t.guards[jobs.JobKey(c.job.Ref)] = n.cache.Stamp(jobs.JobKey(c.job.Ref))
		n.putChunk(t, c, key, tasks)
		for id, e := range c.events {
			t.note("task released", "task", jobs.ID{Ref: c.job.Ref, Task: id}, "as", string(e.Kind), "host", c.job.Live[id].Host)
		}
	}
	return out
}

func (n *Node) chunkBytes(j *jobs.Job) int { return min(j.Record.Chunk, j.Record.Tasks)*56 + 600 }

// putChunk stores a chunk; the write that makes a job's last task done also
// ends the job and drops the chunk.
func (n *Node) putChunk(t *txn, c *chunkChange, key string, tasks []jobs.Task) {
	j := c.job
	done, live := 0, 0
	for _, task := range tasks {
		switch task.State {
		case jobs.Completed:
			done++
		case jobs.Claimed:
			live++
		}
	}
	before := 0
	for _, task := range j.Chunks[c.chunk] {
		if task.State == jobs.Completed {
			before++
		}
	}
	if j.Record.Phase == jobs.Open && j.Counts[jobs.Completed]-before+done == j.Record.Tasks {
		t.set(jobs.JobKey(j.Ref), finalRecord(j, jobs.JobCompleted))
		t.drop(key)
		return
	}
	if j.Record.Phase == jobs.Cancelled && live == 0 {
		t.drop(key)
		return
	}
	t.set(key, jobs.ChunkRecord{Tasks: tasks})
}

// finalRecord is the short record kept forever.
func finalRecord(j *jobs.Job, e jobs.JobEvent) jobs.Record {
	phase, err := j.Record.Phase.Next(e)
	if err != nil {
		return j.Record
	}
	return jobs.Record{Phase: phase, At: j.Record.At, Tasks: j.Record.Tasks, Chunk: j.Record.Chunk}
}

// finished ends jobs whose chunks were completed by different owners, and
// drops what is left of their chunks; the job's first node does it.
func (n *Node) finished() []*txn {
	var out []*txn
	for ref, j := range n.table.Open {
		if !j.AllDone() || n.busyJob[ref] || n.member.Order(ref)[0] != n.self.Label {
			continue
		}
		if t := n.current(&out, "finish", 1, 600, 1, ref); t != nil {
			t.guards[jobs.JobKey(ref)] = n.cache.Stamp(jobs.JobKey(ref))
			t.set(jobs.JobKey(ref), finalRecord(j, jobs.JobCompleted))
		}
	}
	return out
}

// current returns the open transaction of a kind, or a new one, and marks the
// job as under way; nil if the job is in another transaction already.
func (n *Node) current(out *[]*txn, what string, changes, bytes, guards int, ref string) *txn {
	var t *txn
	if len(*out) > 0 {
		t = (*out)[len(*out)-1]
	}
	mine := t != nil && contains(t.jobs, ref)
	if n.busyJob[ref] && !mine {
		return nil
	}
	if t == nil || !n.room(t, changes, bytes, guards) {
		if mine {
			return nil
		}
		t = &txn{class: store.ClassClaim, what: what, guards: map[string]uint64{member.Key: n.cache.Stamp(member.Key)}}
		*out = append(*out, t)
	}
	if !mine {
		t.jobs = append(t.jobs, ref)
	}
	n.busyJob[ref] = true
	return t
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// claims turns placements into guarded writes: each job's chunk, its team's
// key, and for constraints that span chunks the job's record.
func (n *Node) claims(list []place.Claim) []*txn {
	type group struct {
		job    *jobs.Job
		claims []place.Claim
	}
	var groups []*group
	byRef := map[string]*group{}
	for _, c := range list {
		g := byRef[c.Job.Ref]
		if g == nil {
			g = &group{job: c.Job}
			byRef[c.Job.Ref] = g
			groups = append(groups, g)
		}
		g.claims = append(g.claims, c)
	}
	var out []*txn
	var mine = map[string]bool{} // teams of the transactions of this pass
	for _, g := range groups {
		j, team := g.job, g.job.Record.Work.Crew
		if n.busyTeam[team] && !mine[team] {
			continue
		}
		// One chunk of a job at a time keeps the write small.
		chunk := g.claims[0].Task / j.Record.Chunk
		c := &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
		hosts := map[string]bool{}
		for _, cl := range g.claims {
			if cl.Task/j.Record.Chunk == chunk {
				c.events[cl.Task] = jobs.TaskEvent{Kind: jobs.Claim, Host: cl.Host, Stint: cl.Stint}
				hosts[cl.Host] = true
			}
		}
		tasks, ok := c.apply()
		if !ok {
			continue
		}
		if mine[team] && !contains(out[len(out)-1].teams, team) {
			continue // its key is in a transaction that is already full
		}
		before := len(out)
		t := n.current(&out, "claim", 3, n.chunkBytes(j), 3+len(hosts), j.Ref)
		if t == nil {
			continue
		}
		if len(out) > before && mine[team] {
			// The team's key went into the former transaction.
			out = out[:before]
			delete(n.busyJob, j.Ref)
			continue
		}
		key, jkey, tkey := jobs.ChunkKey(j.Ref, chunk), jobs.JobKey(j.Ref), jobs.TeamKey(team)
		t.guards[key], t.guards[jkey] = n.cache.Stamp(key), n.cache.Stamp(jkey)
		for h := range hosts {
			t.guards[fleet.HostKey(h)] = n.cache.Stamp(fleet.HostKey(h))
		}
		t.set(key, jobs.ChunkRecord{Tasks: tasks})
		for id, e := range c.events {
			t.note("task claimed", "task", jobs.ID{Ref: j.Ref, Task: id}, "host", e.Host, "role", string(n.hosts[e.Host].Role))
		}
		if j.SpansChunks() {
			rec := j.Record
			rec.Serial++
			t.set(jkey, rec)
		}
		if !contains(t.teams, team) {
			t.guards[tkey] = n.cache.Stamp(tkey)
			t.set(tkey, jobs.TeamRecord{Serial: n.table.Team[team].Serial + 1})
			t.teams = append(t.teams, team)
			n.busyTeam[team], mine[team] = true, true
		}
	}
	return out
}

// commit runs one transaction and enters its outcome.
func (n *Node) commit(ctx context.Context, t *txn) {
	guards := make([]wire.Guard, 0, len(t.guards))
	for k, s := range t.guards {
		guards = append(guards, wire.Guard{Key: k, Stamp: s})
	}
	sort.Slice(guards, func(a, b int) bool { return guards[a].Key < guards[b].Key })
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	epoch, err := n.svc.Multi(cctx, t.class, guards, t.then)
	stop()
	if err != nil {
		n.log.Debug("write failed", "what", t.what, "jobs", len(t.jobs), "err", err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLost) {
			// What is stored now decides; read it before the next try.
			_ = n.sync.Barrier(tuning.BarrierWait)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.cache.Own(t.then, epoch)
		for _, l := range t.notes {
			n.log.Debug(l[0].(string), l[1:]...)
		}
	}
	for _, ref := range t.jobs {
		delete(n.busyJob, ref)
		if errors.Is(err, store.ErrBad) {
			// It would be refused again: guards against a write every pass.
			n.notUntil[ref] = n.now().Add(tuning.RetryCap)
			n.log.Error("write refused as malformed", "what", t.what, "job", ref, "err", err)
		} else if err != nil {
			n.notUntil[ref] = n.now().Add(jitter(tuning.ConflictPause))
		} else {
			delete(n.notUntil, ref)
		}
	}
	for _, team := range t.teams {
		delete(n.busyTeam, team)
	}
	wake(n.kick)
}

// displace moves service tasks off machines that are to lose them, one at a
// time, each once another machine has room; mu is held.
func (n *Node) displace(machines []*place.Machine) {
	for _, m := range machines {
		for _, r := range m.Tasks {
			if r.Job.Service() && r.Stopping && r.Job.Record.Phase == jobs.Open {
				return // one at a time
			}
		}
	}
	for ref := range n.unmet {
		if j := n.table.Jobs[ref]; j != nil && j.Service() {
			return // those that wait come first
		}
	}
	for _, m := range machines {
		rec := n.hosts[m.Name]
		w := n.workers[m.Name]
		if m.Owner != n.self.Label || w == nil || m.Role == place.Service && rec.Phase == fleet.In && w.TakenAt.IsZero() {
			continue
		}
		for _, r := range m.Tasks {
			if !r.Job.Service() || r.Stopping || r.Job.Record.Phase != jobs.Open {
				continue
			}
			if place.Elsewhere(machines, r.Job, r.ID.Task, m.Name) != nil {
				w.Stopping[r.ID] = true
				n.log.Info("service task moves", "task", r.ID, "host", m.Name, "role", string(m.Role), "phase", string(rec.Phase))
				return
			}
		}
	}
}
