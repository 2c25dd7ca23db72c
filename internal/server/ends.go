package server

import (
	"sort"
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
)

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

// ends is what may be stored of the ends of one chunk's tasks.
type ends struct {
	*chunkChange
	key    string
	since  time.Time
	urgent bool
}

// releases collects the claims whose end is proven and which this node is to
// store, by chunk; what matters most comes first. The others are handed over.
func (n *Node) releases(now time.Time) []ends {
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
	first := map[string]bool{} // jobs whose first node this is
	h := n.newHandOver(now)
	for host, claims := range n.table.Hosts {
		if n.reg.Hosts[host].Phase == fleet.Returned {
			// The proof is stored, so any node may release: the job's first
			// does, in one write for the machines of all owners.
			for id := range claims {
				mine, ok := first[id.Ref]
				if !ok {
					mine = n.member.Order(id.Ref)[0] == n.self.Label
					first[id.Ref] = mine
				}
				if mine {
					add(id, jobs.Release)
				}
			}
			continue
		}
		if n.ownerOf(host) != n.self.Label {
			continue
		}
		if w := n.workers[host]; w != nil {
			for _, r := range w.Proofs(claims, now, n.set.Lease()) {
				if !h.take(r) {
					add(r.ID, r.Kind)
				}
			}
		}
	}
	n.handed, n.handedAt = h.to, h.since
	n.toldEnds(add)
	for key := range n.dueSince {
		if changes[key] == nil {
			delete(n.dueSince, key)
		}
	}
	var out []ends
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
		if n.busyJob[j.Ref] || now.Before(n.notUntil[j.Ref]) || !last && len(c.events) < len(j.Live) && wait < tuning.ReleaseGather {
			continue
		}
		out = append(out, ends{c, key, since, last || j.Service() || again || wait > tuning.ReleaseLate})
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.urgent != y.urgent {
			return x.urgent
		}
		if len(x.events) != len(y.events) && !x.urgent {
			return len(x.events) > len(y.events)
		}
		if !x.since.Equal(y.since) {
			return x.since.Before(y.since)
		}
		return x.key < y.key
	})
	return out
}

// release adds the write of one chunk's ends, if the budget has room for it.
func (n *Node) release(txns []*txn, d ends, most *float64) []*txn {
	if *most < 1 || n.busyJob[d.job.Ref] {
		return txns
	}
	tasks, ok := d.apply()
	if !ok {
		return txns
	}
	t := n.newTxn("release")
	t.guards[d.key] = n.cache.Stamp(d.key)
	t.guards[jobs.JobKey(d.job.Ref)] = n.cache.Stamp(jobs.JobKey(d.job.Ref))
	n.putChunk(t, d.chunkChange, d.key, tasks)
	for id, e := range d.events {
		t.note("task released", "task", jobs.ID{Ref: d.job.Ref, Task: id}, "as", string(e.Kind), "host", d.job.Live[id].Host)
	}
	return n.under(txns, t, d.job.Ref, most)
}

// handOver sorts out the ends that other nodes are to store. Every owner has
// its part of a job's tasks, and to store each part by itself took most of the
// budget of changes for two tasks a change: the job's first node in hashed
// order stores those of all, as the owners tell it. docs/protocol-notes.md
// argues why that is safe.
type handOver struct {
	n       *Node
	now     time.Time
	storers map[string]string     // of jobs
	to      map[string][]peer.End // what each node is told
	since   map[jobs.ID]time.Time // when what is told was first due
}

func (n *Node) newHandOver(now time.Time) *handOver {
	return &handOver{n, now, map[string]string{}, map[string][]peer.End{}, map[jobs.ID]time.Time{}}
}

// take reports whether another node is to store the end.
func (h *handOver) take(r fleet.Release) bool {
	n := h.n
	j := n.table.Jobs[r.ID.Ref]
	to, ok := h.storers[j.Ref]
	if !ok {
		to = n.storer(j)
		h.storers[j.Ref] = to
	}
	if to == n.self.Label {
		return false
	}
	since, ok := n.handedAt[r.ID]
	if !ok {
		since = h.now
	}
	h.since[r.ID] = since
	if h.now.Sub(since) > tuning.HandOverWait || len(h.to[to]) >= tuning.HandOverMost {
		return false // it does not get there: guards against ends that nobody stores
	}
	h.to[to] = append(h.to[to], peer.End{Task: r.ID.String(), Try: j.Live[r.ID.Task].Try, Kind: string(r.Kind)})
	return true
}

// storer is the node that stores the ends of a job's tasks: its first, unless
// all its tasks are on this node's machines, or the first can't be told or
// can't store. The few tasks of a service end at once or one at a time, and
// people wait for the next: their owners store them. mu is held.
func (n *Node) storer(j *jobs.Job) string {
	first := n.member.Order(j.Ref)[0]
	if j.Service() || first == n.self.Label {
		return n.self.Label
	}
	s := n.siblings[first]
	if s == nil || !n.freshSibling(s) || !s.status.HasState || s.status.Baton != n.member.Baton {
		return n.self.Label
	}
	for _, t := range j.Live {
		if n.ownerOf(t.Host) != n.self.Label {
			return first
		}
	}
	return n.self.Label
}

// toldEnds adds the ends that siblings have proven on their machines. An end
// is true for ever, and counts only for the attempt that it names.
func (n *Node) toldEnds(add func(jobs.ID, jobs.TaskEventKind)) {
	for _, s := range n.siblings {
		if !n.freshSibling(s) || s.status.Baton != n.member.Baton {
			continue
		}
		for _, e := range s.status.Ends {
			ref, task, ok := jobs.ParseShard(e.Task)
			kind := jobs.TaskEventKind(e.Kind)
			if j := n.table.Jobs[ref]; ok && j != nil && (kind == jobs.Complete || kind == jobs.Release || kind == jobs.Fail) {
				if t, live := j.Live[task]; live && t.Try == e.Try && n.ownerOf(t.Host) == s.cfg.Label {
					add(jobs.ID{Ref: ref, Task: task}, kind)
				}
			}
		}
	}
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

// finished ends jobs whose chunks were completed by different owners; the
// job's first node does it.
func (n *Node) finished(txns []*txn, most *float64) []*txn {
	for ref, j := range n.table.Open {
		if *most < 1 || !j.AllDone() || n.busyJob[ref] || n.member.Order(ref)[0] != n.self.Label {
			continue
		}
		t := n.newTxn("finish")
		t.guards[jobs.JobKey(ref)] = n.cache.Stamp(jobs.JobKey(ref))
		t.set(jobs.JobKey(ref), finalRecord(j, jobs.JobCompleted))
		txns = n.under(txns, t, ref, most)
	}
	return txns
}
