package server

import (
	"context"
	"fmt"
	"testing"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/wire"
)

// fleetSize is that of the largest deployment known, rounded up.
const fleetSize = 2500

// bigWorld is one world with a whole fleet that reports: every second machine
// of the service role, the rest batch.
func bigWorld(t testing.TB, labels ...string) *world {
	t.Helper()
	w := newWorld(t, labels...)
	l := w.leader()
	for i := range fleetSize {
		host := fmt.Sprintf("host-%06d", i)
		w.cl.list = append(w.cl.list, wire.Host{Ref: host, Address: "10.9.9.9:1", Rig: "g", Plot: "z", Phase: wire.HostRunning, HeldS: 100})
		role := place.Batch
		if i%2 == 0 {
			role = place.Service
		}
		l.mu.Lock()
		l.leadMemory().hired[host] = hired{role: role}
		l.mu.Unlock()
	}
	l.enterList(context.Background(), w.cl.list)
	w.sync()
	for _, h := range w.cl.list {
		owner, _ := w.owner(h.Ref)
		owner.take(w.checkin(h.Ref, 1, owner.baton()))
	}
	for _, n := range w.nodes {
		for _, m := range w.nodes {
			if m != n {
				w.exchange(n, m)
			}
		}
	}
	return w
}

// fill submits services and arrays and places them.
func (w *world) fill(services, arrays int) {
	l := w.leader()
	for i := range services {
		w.submit(l, service(fmt.Sprintf("wk-1%05d", i), 8))
	}
	for i := range arrays {
		w.submit(l, work(fmt.Sprintf("wk-2%05d", i), 60))
	}
}

// teamRoom lifts the team's limit of the small worlds.
func (w *world) teamRoom() {
	for _, n := range w.nodes {
		n.set.Params.Teams[0].GPUsMax = 1e6
	}
}

func BenchmarkPass(b *testing.B) {
	w := bigWorld(b, "a", "b", "c")
	w.teamRoom()
	w.fill(120, 40)
	for range 12 {
		w.passAll()
	}
	n := w.leader()
	b.ReportAllocs()
	for b.Loop() {
		n.mu.Lock()
		n.pass()
		n.mu.Unlock()
	}
}

func BenchmarkPassWithWorkWaiting(b *testing.B) {
	w := bigWorld(b, "a", "b", "c")
	w.teamRoom()
	w.fill(300, 0)
	n := w.leader()
	for _, m := range n.workers {
		m.TakenAt = w.clk.now() // no machine takes tasks
	}
	b.ReportAllocs()
	for b.Loop() {
		n.mu.Lock()
		n.pass()
		n.mu.Unlock()
	}
}

func BenchmarkReport(b *testing.B) {
	w := bigWorld(b, "a")
	n := w.leader()
	var shards []wire.Shard
	for i := range 8 {
		shards = append(shards, wire.Shard{Shard: jobs.Shard("wk-1", i), Try: 1, Phase: wire.ShardRunning})
	}
	baton := n.baton()
	b.ReportAllocs()
	for b.Loop() {
		n.take(w.checkin("host-000007", 1, baton, shards...))
	}
}

func BenchmarkWatchDecode(b *testing.B) {
	w := newWorld(b, "a")
	n := w.leader()
	w.submit(n, work("wk-1", 60))
	tasks := make([]jobs.Task, 60)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.Claimed, Try: 1, Host: fmt.Sprintf("host-%06d", i/8), Stint: 1}
	}
	v := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	b.ReportAllocs()
	for b.Loop() {
		if err := n.table.ApplyChunk(jobs.ChunkKey("wk-1", 0), v); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	w := bigWorld(b, "a")
	w.teamRoom()
	w.fill(300, 60)
	n := w.leader()
	w.pass(n)
	b.ReportAllocs()
	for b.Loop() {
		n.mu.Lock()
		now := n.now()
		fleet.Plan(n.planInput(n.leadMemory(), n.machines(now), now))
		n.mu.Unlock()
	}
}
