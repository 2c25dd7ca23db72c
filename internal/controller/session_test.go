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

// hangingStore is a store whose writes hang while leases are renewed.
type hangingStore struct {
	*storeLink
	writes  atomic.Int64
	renewed atomic.Int64
	release chan struct{}
}

func (store *hangingStore) CompareAndSwap(ctx context.Context, class store.Class, compares []wire.Compare, operations []wire.Operation) (uint64, error) {
	store.writes.Add(1)
	select {
	case <-store.release:
	case <-ctx.Done():
	}
	return store.storeLink.CompareAndSwap(ctx, class, compares, operations)
}

func (store *hangingStore) RenewLease(ctx context.Context, id uint64) error {
	store.renewed.Add(1)
	return store.storeLink.RenewLease(ctx, id)
}

// A write of the membership that gets no answer must not hold up the renewal of the
// session: it did, and slow controllers lost their sessions again and again.
func TestAHangingMembershipWriteDoesNotDelayLeaseRenewal(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	controller := env.controllers["b"]
	hanging := &hangingStore{storeLink: env.links["b"], release: make(chan struct{})}
	controller.Store = hanging
	controller.Lock()
	controller.Session, controller.Sessions = membership.NoLease, map[string]membership.Node{}
	controller.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = controller.election.RunSession(ctx) })
	loops.Go(func() { _ = controller.election.RunMembership(ctx) })
	deadline := time.Now().Add(20 * time.Second)
	for hanging.renewed.Load() < 2 || hanging.writes.Load() < 1 {
		if time.Now().After(deadline) {
			t.Fatalf("%d renewals and %d writes while a write hangs", hanging.renewed.Load(), hanging.writes.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(hanging.release)
	stop()
	loops.Wait()
}

// A step that was taken under a former lease and fails for its expiry says nothing of
// the present one.
func TestTheEndOfAFormerLeaseDoesNotEndTheSession(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	former := controller.Self.Incarnation
	controller.election.EndSession(former)
	if controller.Session != membership.NoLease {
		t.Fatalf("session %s after its lease has ended", controller.Session)
	}
	controller.election.OpenSession(context.Background())
	controller.election.EndSession(former)
	if controller.Session != membership.Leased {
		t.Errorf("session %s: the end of a former lease ended it", controller.Session)
	}
}

// A former process's late write of the session key must not stand.
func TestASessionIsStoredAgainAfterALateWriteOfAFormerProcess(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	old := membership.Node{Label: "a", Incarnation: 777}
	env.store.Leases[777] = true
	_, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: membership.SessionKey("a"), Value: wire.MustMarshal(old), LeaseID: 777}})
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		env.stepMembership()
	}
	controller.Lock()
	defer controller.Unlock()
	if controller.Sessions["a"] != controller.Self || !controller.IsMember() {
		t.Fatalf("session %+v, self %+v", controller.Sessions["a"], controller.Self)
	}
}
