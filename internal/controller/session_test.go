package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// stuck is a state service whose transactions hang while leases are renewed.
type stuck struct {
	*access
	writes  atomic.Int64
	renewed atomic.Int64
	release chan struct{}
}

func (s *stuck) CompareAndSwap(ctx context.Context, class store.Class, guards []wire.Compare, changes []wire.Operation) (uint64, error) {
	s.writes.Add(1)
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return s.access.CompareAndSwap(ctx, class, guards, changes)
}

func (s *stuck) RenewLease(ctx context.Context, id uint64) error {
	s.renewed.Add(1)
	return s.access.RenewLease(ctx, id)
}

// A write of the membership that gets no answer does not hold up the renewal of
// the session: it did, and slow nodes lost their sessions again and again.
func TestAStuckMembershipWriteDoesNotCostTheSession(t *testing.T) {
	w := newWorld(t, "a", "b")
	n := w.nodes["b"]
	service := &stuck{access: w.way["b"], release: make(chan struct{})}
	n.Store = service
	n.Lock()
	n.Session, n.Sessions = membership.NoLease, map[string]membership.Node{}
	n.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = n.election.RunSession(ctx) })
	loops.Go(func() { _ = n.election.RunMembership(ctx) })
	deadline := time.Now().Add(20 * time.Second)
	for service.renewed.Load() < 2 || service.writes.Load() < 1 {
		if time.Now().After(deadline) {
			t.Fatalf("%d renewals and %d writes while a write hangs", service.renewed.Load(), service.writes.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(service.release)
	stop()
	loops.Wait()
}

// The answer to a step that was taken under a former lease says nothing of the
// present one.
func TestAFormerLeaseEndsNoSession(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	former := n.Self.Incarnation
	n.election.EndSession(former)
	if n.Session != membership.NoLease {
		t.Fatalf("session %s after its lease has ended", n.Session)
	}
	n.election.OpenSession(context.Background())
	n.election.EndSession(former)
	if n.Session != membership.Leased {
		t.Errorf("session %s: the end of a former lease ended it", n.Session)
	}
}
