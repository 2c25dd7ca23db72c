package controller

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
)

// A graceful stop refuses new requests with a Retry-After header, waits for writes in flight and
// revokes the session lease, so that the other controller takes over the machines without waiting
// for the lease to expire.
func TestGracefulStopHandsOverBeforeSessionExpiry(t *testing.T) {
	env := newQuotaEnv(t, 8, 8)
	leaving, staying := env.leader(), env.controllers["a"]
	if staying == leaving {
		staying = env.controllers["b"]
	}
	env.submit(leaving, arrayJob("wk-1", 2))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	leaving.api.SubmissionSlots <- struct{}{} // a submission is in flight
	if err := leaving.Drain(ctx); !errors.Is(err, ErrOperationsInFlight) {
		t.Fatalf("drain with a submission in flight: %v", err)
	}
	<-leaving.api.SubmissionSlots
	for path, body := range map[string]any{"/work": arrayJob("wk-2", 1), "/work/wk-1/cancel": nil} {
		if code, _, response := sendRequest(leaving, "POST", path, body); code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s at a stopping controller: status %d", path, code)
		}
	}
	if code, _, _ := sendRequest(leaving, "GET", "/up", nil); code != http.StatusServiceUnavailable {
		t.Errorf("/up at a stopping controller: status %d", code)
	}
	if code, _ := leaving.receiveHeartbeat(env.heartbeat("h0", 1, 0)); code == http.StatusOK {
		t.Error("a heartbeat is accepted after the session has ended")
	}
	for range 4 {
		env.stepMembership()
	}
	if env.leader() != staying || len(staying.Membership.Members) != 1 {
		t.Fatalf("membership %+v after the stop", staying.Membership)
	}
	if leaving.Session != membership.NoLease {
		t.Fatalf("session state %s after the stop", leaving.Session)
	}
	if err := leaving.election.RunSession(context.Background()); err != nil {
		t.Fatal(err) // the loop returns and opens no new session
	}
	if err := leaving.Drain(context.Background()); err != nil {
		t.Fatalf("second drain: %v", err)
	}
}

// A controller that cannot reach the store stops in bounded time; its session is left to expire.
func TestGracefulStopDuringStoreOutageTakesBoundedTime(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.store.Unavailable = true
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_ = controller.Drain(ctx)
	if took := time.Since(begin); took > 2*tuning.StoreCallTimeout {
		t.Fatalf("drain took %v", took)
	}
}

// The error of CheckProgress names the stalled loop and how long it has been stalled.
func TestCheckProgressNamesStalledLoop(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	if err := controller.CheckProgress(); err != nil {
		t.Fatalf("before the loops have started: %v", err)
	}
	for l := range cluster.LoopCount {
		controller.RecordProgress(l)
	}
	env.clock.add(tuning.StallAfter / 2)
	controller.RecordProgress(cluster.SessionLoop)
	controller.RecordProgress(cluster.MembershipLoop)
	if err := controller.CheckProgress(); err != nil {
		t.Fatal(err)
	}
	env.clock.add(tuning.StallAfter/2 + time.Second)
	if err := controller.CheckProgress(); !errors.Is(err, cluster.ErrStalled) || err.Error() != "loop stalled: passes, for 21s" {
		t.Fatalf("progress of a stalled loop: %v", err)
	}
}
