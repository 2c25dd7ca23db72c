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
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// txn collects the changes of one guarded write.
type txn struct {
	class   store.Class
	guards  map[string]uint64
	changes []wire.Change
	bytes   int
	jobs    []string
	what    string
	notes   [][]any // log lines for when it is stored

	shares    *quota.Write     // the new shares of a team's limit that it stores
	admission *quota.Admission // the room of a team's limit that its claims take
	reserves  bool             // it stores the reservations
}

func (t *txn) note(msg string, args ...any) { t.notes = append(t.notes, append([]any{msg}, args...)) }

func (n *Node) newTxn(what string) *txn {
	return &txn{class: store.ClassClaim, what: what, guards: map[string]uint64{member.Key: n.cache.Version(member.Key)}}
}

// room reports whether n more changes of the given size fit.
func (n *Node) room(t *txn, changes, bytes, guards int) bool {
	ops := n.limits.TxnOps
	return len(t.changes)+changes <= ops && t.bytes+bytes <= tuning.TxnBytes && len(t.guards)+guards <= 4*ops
}

func (t *txn) set(key string, v any) {
	raw := wire.MustMarshal(v)
	t.changes = append(t.changes, wire.Change{Set: key, Value: raw})
	t.bytes += 2*len(raw) + len(key) // JSON is at most about twice the CBOR
}

func (t *txn) drop(key string) {
	t.changes = append(t.changes, wire.Change{Drop: key})
	t.bytes += len(key) + 16
}

// runPass runs the owner's part whenever something has changed.
func (n *Node) runPass(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.passWake:
		case <-time.After(tuning.TickEvery):
		}
		start := time.Now()
		n.mu.Lock()
		txns := n.pass()
		n.mu.Unlock()
		took := time.Since(start)
		for _, t := range txns {
			go n.commit(ctx, t)
		}
		// Guards against passes that leave no processor for reports and polls.
		sleep(ctx, min(max(tuning.PassPause, tuning.PassRest*took), tuning.PassPauseMax))
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
	n.refreshRecords()
	workers, all := n.sweep(now)
	if all {
		n.recover(now)
	}
	blind := n.blind()
	for host, w := range workers {
		if len(w.Stopping) > 0 && w.KeepStopping(n.table.Hosts[host]) {
			n.view.touch(host)
		}
	}
	for host, w := range n.failing {
		if len(w.Errors) == 0 || n.workers[host] != w {
			delete(n.failing, host)
		}
	}
	for jobID, at := range n.preemptedFor {
		if now.Sub(at) > tuning.PreemptPause {
			delete(n.preemptedFor, jobID)
		}
	}
	for jobID, at := range n.notUntil {
		if now.After(at) {
			delete(n.notUntil, jobID)
		}
	}
	// What can't be written now is not decided now: it would wait in the
	// budget's queue until its guards are old, and fail.
	most := n.lim.Writes(tuning.WriteReserve)
	txns := n.shareOut(now, &most)
	due := n.releases(workers, now)
	fleet := n.machines(now)
	in := n.placeInput(fleet, now)
	out := place.Pass(in)
	n.noteUnmet(out, now)
	if blind {
		out.Evict = nil
	}
	for _, r := range out.Evict {
		if w := n.workers[n.hostOf(r.Resident)]; w != nil {
			n.stopTask(w, r.ID)
			n.preemptedFor[r.For] = now
			n.log.Debug("task stopped for a job of higher claim", "task", r.ID, "host", w.Host, "for", r.For)
		}
	}
	if all && !blind {
		n.displace(fleet)
	}
	// Ends of jobs and of tasks that are to start again come first, but no more
	// than half of what can be written while tasks wait for their claims. The
	// other ends only free room, which is not short while there are claims.
	// Guards against a half-empty fleet beside a queue: the ends of hundreds of
	// tasks took the budget from the claims.
	early := most
	if len(out.Claims) > 0 {
		early = n.earlyShare(most)
	}
	most -= early
	for _, r := range due {
		if r.priority < releaseRoutine {
			txns = n.release(txns, r, &early)
		}
	}
	most += early
	released := len(txns)
	txns = n.claims(txns, out.Claims, &most)
	n.claimsWaited = len(out.Claims) > 0 && len(txns) == released && released > 0
	for _, r := range due {
		txns = n.release(txns, r, &most) // those that were not written yet
	}
	txns = append(txns, n.offerShares(in.Teams, out.ShareShort, now, &most)...)
	txns = append(txns, n.reserve(out.GuaranteeShort, now, &most)...)
	txns = n.finished(txns, &most)
	jobsToClaim := map[string]bool{}
	for _, c := range out.Claims {
		jobsToClaim[c.Job.ID] = true
	}
	waits := n.lim.Waiting() + float64(n.storing+max(0, len(due)+len(jobsToClaim)-len(txns)))
	n.queuedChanges += (waits - n.queuedChanges) / 2
	n.shareBudget()
	for host, w := range workers {
		if n.ownerOf(host) == n.self.Label {
			n.invalidateHeldStarts(w)
			n.direct(w, now)
		} else if n.reg.Key(host) == "" && now.Sub(w.Heard) > 2*n.set.Lease() {
			delete(n.workers, host)
		}
	}
	n.settle()
	return txns
}

// earlyShare is the part of the changes that may be written now which ends may
// take before claims: half. If that is less than one each, they take turns:
// with passes that come often, a single change is due at a time, and ends took
// every one. mu is held.
func (n *Node) earlyShare(changes float64) float64 {
	if changes < 2 && n.claimsWaited {
		return 0
	}
	return (changes + 1) / 2
}

func (n *Node) hostOf(r place.Resident) string { return r.Job.Live[r.ID.Task].Host }

func (n *Node) noteUnmet(out place.Output, now time.Time) {
	n.unmet, n.why = out.Unmet, out.Why
	n.noteShortages(out, now)
	for jobID := range n.unmetAt {
		if out.Unmet[jobID] == 0 {
			delete(n.unmetAt, jobID)
		}
	}
	for jobID := range out.Unmet {
		if _, ok := n.unmetAt[jobID]; !ok {
			n.unmetAt[jobID] = now
		}
	}
}

// placeInput builds the pass's input; mu is held.
func (n *Node) placeInput(fleet *place.Fleet, now time.Time) place.Input {
	in := place.Input{Me: n.self.Label, Leader: n.member.Leader.Label, Order: n.member.Order,
		Fleet: fleet, Teams: n.allowances(), Now: now, MostJobs: tuning.JobsPerPass}
	avoid := map[string]map[string]bool{}
	for host, w := range n.failing {
		for jobID := range w.Errors {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][host] = true
		}
	}
	pipelines := n.pipelines()
	for jobID, j := range n.table.Open {
		if j.Counts[jobs.Pending] == 0 || j.Record.Phase == jobs.Waiting && !pipelines {
			continue // an old member would stop what starts on its machines
		}
		d := &place.Demand{Job: j, Avoid: avoid[jobID]}
		d.Tasks = n.pending(j, tuning.TasksPerJob, now)
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		d.Pressed = n.pressed(j, now)
		d.Aged = j.Counts[jobs.Pending] == j.Record.Tasks && now.UnixMilli()-j.Ready > tuning.AgedAfter.Milliseconds()
		d.PreemptedFor = now.Sub(n.preemptedFor[jobID]) < tuning.PreemptPause
		d.Blocked = n.busyJob[jobID] || now.Before(n.notUntil[jobID])
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
				if now.Sub(n.table.FailedAt[jobs.TaskID{Job: j.ID, Task: i}]) < pause {
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
	bytes  int                    // bounds the record's JSON with claims that were added by claim
}

// claim adds the claim of a task; false if the record would be too large.
func (c *chunkChange) claim(task int, e jobs.TaskEvent, limit int) bool {
	if c.bytes == 0 {
		c.bytes = jobs.ChunkRecord{Tasks: c.job.ChunkCopy(c.chunk)}.Bytes()
	}
	more := jobs.ClaimBytes(e)
	if c.bytes+more > limit {
		return false
	}
	c.bytes += more
	c.events[task] = e
	return true
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

// pendingRelease is what may be stored of the ends of one chunk's tasks.
type pendingRelease struct {
	*chunkChange
	key      string
	since    time.Time
	priority releasePriority
}

// releasePriority orders the ends of tasks.
type releasePriority int

const (
	releaseJobEnd  releasePriority = iota // the job is over: its user and what depends on it wait for that
	releaseRestart                        // a task waits for a new start, or this node's part of the job is over
	releaseRoutine                        // the rest
)

// releases collects the claims whose end is proven on this node's machines,
// by chunk; what matters most comes first. workers are those that may have any.
func (n *Node) releases(workers map[string]*fleet.Worker, now time.Time) []pendingRelease {
	changes := map[string]*chunkChange{}
	add := func(id jobs.TaskID, kind jobs.TaskEventKind) {
		j := n.table.Jobs[id.Job]
		chunk := id.Task / j.Record.Chunk
		key := jobs.ChunkKey(id.Job, chunk)
		if changes[key] == nil {
			changes[key] = &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
		}
		changes[key].events[id.Task] = jobs.TaskEvent{Kind: kind}
	}
	first := map[string]bool{} // jobs whose first node this is
	for host := range n.view.returned {
		// The proof is stored, so any node may release: the job's first
		// does, in one write for the machines of all owners.
		for id := range n.table.Hosts[host] {
			mine, ok := first[id.Job]
			if !ok {
				mine = n.member.Order(id.Job)[0] == n.self.Label
				first[id.Job] = mine
			}
			if mine {
				add(id, jobs.Release)
			}
		}
	}
	lease := n.set.Lease()
	for host, w := range workers {
		if w.NothingToProve(now, lease) || n.ownerOf(host) != n.self.Label || n.reg.Hosts[host].Phase == fleet.Returned {
			continue
		}
		for _, r := range w.Proofs(n.table.Hosts[host], now, lease) {
			add(r.ID, r.Kind)
		}
	}
	for key := range n.dueSince {
		if changes[key] == nil {
			delete(n.dueSince, key)
		}
	}
	var out []pendingRelease
	for key, c := range changes {
		since, ok := n.dueSince[key]
		if !ok {
			since = now
			n.dueSince[key] = now
		}
		over, again := 0, false
		for _, e := range c.events {
			if e.Kind == jobs.Complete {
				over++
			} else {
				again = true // it waits for a new start
			}
		}
		j := c.job
		last := j.Counts[jobs.Completed]+over == j.Record.Tasks
		wait := now.Sub(since)
		if n.busyJob[j.ID] || now.Before(n.notUntil[j.ID]) || !last && len(c.events) < len(j.Live) && wait < tuning.ReleaseGather {
			continue
		}
		e := pendingRelease{c, key, since, releaseRoutine}
		switch {
		case last:
			e.priority = releaseJobEnd
		case j.Service() || again || wait > tuning.ReleaseLate || n.partOver(j, changes):
			e.priority = releaseRestart
		}
		out = append(out, e)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		if len(x.events) != len(y.events) && x.priority == releaseRoutine {
			return len(x.events) > len(y.events)
		}
		if !x.since.Equal(y.since) {
			return x.since.Before(y.since)
		}
		return x.key < y.key
	})
	return out
}

// partOver reports whether the ends that are due leave no task of the job on
// this node's machines, and none waits: the node that stores the job's end
// waits for these. Guards against jobs whose last end came 12 s late because
// the ends on other nodes' machines were thought to free room only.
func (n *Node) partOver(j *jobs.Job, due map[string]*chunkChange) bool {
	if j.Counts[jobs.Pending] > 0 {
		return false
	}
	for i, t := range j.Live {
		if n.ownerOf(t.Host) != n.self.Label {
			continue
		}
		c := due[jobs.ChunkKey(j.ID, i/j.Record.Chunk)]
		if c == nil {
			return false
		}
		if _, ends := c.events[i]; !ends {
			return false
		}
	}
	return true
}

// release adds the write of one chunk's ends, if the budget has room for it.
func (n *Node) release(txns []*txn, d pendingRelease, most *float64) []*txn {
	if *most < 1 || n.busyJob[d.job.ID] {
		return txns
	}
	tasks, ok := d.apply()
	if !ok {
		return txns
	}
	t := n.newTxn("release")
	t.guards[d.key] = n.cache.Version(d.key)
	t.guards[jobs.JobKey(d.job.ID)] = n.cache.Version(jobs.JobKey(d.job.ID))
	n.putChunk(t, d.chunkChange, d.key, tasks)
	for id, e := range d.events {
		t.note("task released", "task", jobs.TaskID{Job: d.job.ID, Task: id}, "as", string(e.Kind), "host", d.job.Live[id].Host)
	}
	return n.under(txns, t, d.job.ID, most)
}

// under adds a write about a job, and marks it as under way.
func (n *Node) under(txns []*txn, t *txn, jobID string, most *float64) []*txn {
	t.jobs = append(t.jobs, jobID)
	n.busyJob[jobID] = true
	*most -= float64(len(t.changes))
	return append(txns, t)
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
	if j.Phase == jobs.Open && j.Counts[jobs.Completed]-before+done == j.Record.Tasks {
		t.set(jobs.JobKey(j.ID), finalRecord(j, jobs.JobCompleted, n.now()))
		t.drop(key)
		return
	}
	if j.Phase == jobs.Cancelled && live == 0 {
		t.drop(key)
		return
	}
	t.set(key, jobs.ChunkRecord{Tasks: tasks})
}

// finalRecord is the short record kept forever.
func finalRecord(j *jobs.Job, e jobs.JobEvent, now time.Time) jobs.Record {
	phase, err := j.Phase.Next(e)
	if err != nil {
		return j.Record
	}
	return jobs.Record{Phase: phase, At: j.Record.At, Tasks: j.Record.Tasks, Chunk: j.Record.Chunk, End: now.UnixMilli(), Via: j.Via}
}

// finished ends jobs whose chunks were completed by different owners; the
// job's first node does it.
func (n *Node) finished(txns []*txn, most *float64) []*txn {
	for jobID, j := range n.table.Open {
		if *most < 1 || !j.AllDone() || n.busyJob[jobID] || n.member.Order(jobID)[0] != n.self.Label {
			continue
		}
		t := n.newTxn("finish")
		t.guards[jobs.JobKey(jobID)] = n.cache.Version(jobs.JobKey(jobID))
		t.set(jobs.JobKey(jobID), finalRecord(j, jobs.JobCompleted, n.now()))
		txns = n.under(txns, t, jobID, most)
	}
	for jobID, j := range n.table.Unrecorded {
		// It says nothing new: it lets intake records go, and tells old versions.
		if *most < 2 || n.busyJob[jobID] || n.member.Order(jobID)[0] != n.self.Label {
			continue
		}
		t := n.newTxn("cancelled with another")
		t.guards[jobs.JobKey(jobID)] = n.cache.Version(jobs.JobKey(jobID))
		t.set(jobs.JobKey(jobID), jobs.Record{Phase: j.Phase, At: j.Record.At, Tasks: j.Record.Tasks, Chunk: j.Record.Chunk, End: n.now().UnixMilli(), Via: j.Via})
		txns = n.under(txns, t, jobID, most)
	}
	for key := range n.table.Intakes {
		// Nothing needs it any more: guards against reading it for ever.
		if *most >= 1 && !n.busyJob[key] && n.table.Over(key) && n.member.Order(key)[0] == n.self.Label {
			t := n.newTxn("intake over")
			t.guards[key] = n.cache.Version(key)
			t.drop(key)
			txns = n.under(txns, t, key, most)
		}
	}
	return txns
}

// claims turns placements into guarded writes, one for each job: its chunks,
// and for constraints that span chunks its record. One write a job: if one
// loses a race, the others stand. A claim stays within this node's share of
// the team's limit; the leader, which also claims on others' machines, hands
// their owners the part of the limit that the claims take in the same write.
func (n *Node) claims(txns []*txn, list []place.Claim, most *float64) []*txn {
	type group struct {
		job    *jobs.Job
		claims []place.Claim
	}
	var groups []*group
	byJob := map[string]*group{}
	for _, c := range list {
		g := byJob[c.Job.ID]
		if g == nil {
			g = &group{job: c.Job}
			byJob[c.Job.ID] = g
			groups = append(groups, g)
		}
		g.claims = append(g.claims, c)
	}
	for _, g := range groups {
		j, team := g.job, g.job.Record.Spec.Team
		if *most < 1 {
			break
		}
		if n.busyJob[j.ID] || n.quota.Of(team).Writing() {
			continue
		}
		t := n.newTxn("claim")
		changes := map[string]*chunkChange{}
		var amount quota.Amount             // what the claims take
		others := map[string]quota.Amount{} // and what of it on others' machines
		for _, cl := range g.claims {
			chunk := cl.Task / j.Record.Chunk
			key, hkey := jobs.ChunkKey(j.ID, chunk), n.reg.Key(cl.Host)
			c := changes[key]
			if c == nil {
				if !n.room(t, len(changes)+3, (len(changes)+1)*n.chunkBytes(j), len(changes)+5) {
					break
				}
				c = &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
				changes[key] = c
			}
			if _, ok := t.guards[hkey]; !ok && !n.room(t, 0, 0, len(changes)+4) {
				continue // more machines than one write may name
			}
			if !c.claim(cl.Task, jobs.TaskEvent{Kind: jobs.Claim, Host: cl.Host, Session: cl.Session}, int(n.limits.ValueKB*1024)) {
				continue // its turn comes when others of the chunk are over
			}
			t.guards[hkey] = n.cache.Version(hkey)
			amount = amount.Add(j.Need.Amount())
			if owner := n.ownerOf(cl.Host); owner != n.self.Label {
				others[owner] = others[owner].Add(j.Need.Amount())
			}
		}
		jkey := jobs.JobKey(j.ID)
		t.guards[jkey] = n.cache.Version(jkey)
		claimed := 0
		for key, c := range changes {
			if len(c.events) == 0 {
				delete(changes, key) // no room in its record
			}
			claimed += len(c.events)
		}
		ok := claimed > 0
		for key, c := range changes {
			tasks, due := c.apply()
			if ok = ok && due; !ok {
				break
			}
			t.guards[key] = n.cache.Version(key)
			t.set(key, jobs.ChunkRecord{Tasks: tasks})
			for id, e := range c.events {
				t.note("task claimed", "task", jobs.TaskID{Job: j.ID, Task: id}, "host", e.Host, "role", string(n.reg.Hosts[e.Host].Role))
			}
		}
		if !ok || j.Gang() && claimed < len(g.claims) || !n.admit(t, team, amount, others) {
			continue
		}
		if j.SpansChunks() {
			rec := j.Record
			rec.Serial++
			t.set(jkey, rec)
		}
		txns = n.under(txns, t, j.ID, most)
	}
	return txns
}

// commit runs one transaction and enters its outcome.
func (n *Node) commit(ctx context.Context, t *txn) {
	guards := make([]wire.Guard, 0, len(t.guards))
	for k, s := range t.guards {
		guards = append(guards, wire.Guard{Key: k, Version: s})
	}
	sort.Slice(guards, func(a, b int) bool { return guards[a].Key < guards[b].Key })
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	revision, err := n.svc.Multi(cctx, t.class, guards, t.changes)
	stop()
	if err != nil {
		n.log.Debug("write failed", "what", t.what, "jobs", t.jobs, "err", err)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLost) {
			// What is stored now decides; read it before the next try.
			_ = n.sync.Barrier(tuning.BarrierWait)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metrics.wrote(t.what, err)
	if err == nil {
		n.cache.Own(t.changes, revision)
		for _, l := range t.notes {
			n.log.Debug(l[0].(string), l[1:]...)
		}
	}
	n.settleQuota(t, err)
	for _, jobID := range t.jobs {
		delete(n.busyJob, jobID)
		if errors.Is(err, store.ErrBad) {
			// It would be refused again: guards against a write every pass.
			n.notUntil[jobID] = n.now().Add(tuning.RetryCap)
			n.log.Error("write refused as malformed", "what", t.what, "job", jobID, "err", err)
		} else if err != nil {
			n.notUntil[jobID] = n.now().Add(jitter(tuning.ConflictPause))
		} else {
			delete(n.notUntil, jobID)
		}
	}
	wake(n.passWake)
}

// displace moves service tasks off machines that are to lose them, one at a
// time, each once another machine has room; mu is held.
func (n *Node) displace(f *place.Fleet) {
	machines, tries := f.Machines, 0
	for _, m := range machines {
		for _, r := range m.Tasks {
			if r.Stopping && r.Job.Service() && r.Job.Phase == jobs.Open {
				return // one at a time
			}
		}
	}
	for jobID := range n.unmet {
		if j := n.table.Jobs[jobID]; j != nil && j.Service() {
			return // those that wait come first
		}
	}
	for _, m := range machines {
		if m.Owner != n.self.Label {
			continue
		}
		rec := n.reg.Hosts[m.Name]
		w := n.workers[m.Name]
		if w == nil || m.Role == place.Service && rec.Phase == fleet.In && w.TakenAt.IsZero() {
			continue
		}
		for _, r := range m.Tasks {
			if !r.Job.Service() || r.Stopping || r.Job.Phase != jobs.Open {
				continue
			}
			if tries++; tries > displaceTries {
				return
			}
			if place.Elsewhere(f, r.Job, r.ID.Task, m.Name) != nil {
				n.stopTask(w, r.ID)
				n.log.Info("service task moves", "task", r.ID, "host", m.Name, "role", string(m.Role), "phase", string(rec.Phase))
				return
			}
		}
	}
}

// displaceTries bounds the tasks that a pass tries to move.
const displaceTries = 16
