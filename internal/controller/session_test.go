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

// hangingStore is a store whose writes block until release is closed, while lease renewals succeed.
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

// A membership write that gets no response must not delay the renewal of the session lease.
// Previously it did, and slow controllers lost their sessions repeatedly.
func TestHangingMembershipWriteDoesNotDelayLeaseRenewal(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	controller := env.controllers["b"]
	hanging := &hangingStore{storeLink: env.links["b"], release: make(chan struct{})}
	controller.Store = hanging
	controller.Lock()
	controller.Session, controller.Sessions = membership.NoLease, map[string]membership.Controller{}
	controller.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = controller.election.RunSession(ctx) })
	loops.Go(func() { _ = controller.election.RunMembership(ctx) })
	deadline := time.Now().Add(20 * time.Second)
	for hanging.renewed.Load() < 2 || hanging.writes.Load() < 1 {
		if time.Now().After(deadline) {
			t.Fatalf("%d lease renewals and %d writes while a write hangs", hanging.renewed.Load(), hanging.writes.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(hanging.release)
	stop()
	loops.Wait()
}

// A membership step that was started under a previous lease and fails because that lease expired
// must not end the session of the current lease.
func TestExpiryOfPreviousLeaseDoesNotEndSession(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	previousLease := controller.Self.Incarnation
	controller.election.ExpireSession(previousLease)
	if controller.Session != membership.NoLease {
		t.Fatalf("session state %s after its lease has expired", controller.Session)
	}
	controller.election.AcquireLease(context.Background())
	controller.election.ExpireSession(previousLease)
	if controller.Session != membership.Leased {
		t.Errorf("session state %s after the expiry of a previous lease", controller.Session)
	}
}

// A session key that is overwritten by a late write of the controller's previous process must be
// replaced by the current session.
func TestSessionIsRestoredAfterLateWriteOfPreviousProcess(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	previousNode := membership.Controller{Label: "a", Incarnation: 777}
	env.store.Leases[777] = true
	_, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: membership.SessionKey("a"), Value: wire.MustMarshal(previousNode), LeaseID: 777}})
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		env.stepMembership()
	}
	controller.Lock()
	defer controller.Unlock()
	if controller.Sessions["a"] != controller.Self || !controller.IsMember() {
		t.Fatalf("stored session %+v, own node %+v", controller.Sessions["a"], controller.Self)
	}
}
