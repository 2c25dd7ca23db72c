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

// A graceful stop refuses new requests with a time to retry, lets writes in flight
// end, and ends the session: the other controller takes the machines over without
// waiting for its expiry.
func TestAGracefulStopHandsOver(t *testing.T) {
	env := newQuotaPair(t, 8, 8)
	leaving, staying := env.leader(), env.controllers["a"]
	if staying == leaving {
		staying = env.controllers["b"]
	}
	env.submit(leaving, arrayJob("wk-1", 2))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	leaving.api.SubmissionSlots <- struct{}{} // a submission is in flight
	if err := leaving.Drain(ctx); !errors.Is(err, ErrWritesInFlight) {
		t.Fatalf("drained with a submission under way: %v", err)
	}
	<-leaving.api.SubmissionSlots
	for path, body := range map[string]any{"/work": arrayJob("wk-2", 1), "/work/wk-1/cancel": nil} {
		if code, _, response := sendRequest(leaving, "POST", path, body); code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
			t.Errorf("%s at a controller that stops: %d", path, code)
		}
	}
	if code, _, _ := sendRequest(leaving, "GET", "/up", nil); code != http.StatusServiceUnavailable {
		t.Errorf("/up at a controller that stops: %d", code)
	}
	if code, _ := leaving.receiveHeartbeat(env.heartbeat("h0", 1, 0)); code == http.StatusOK {
		t.Error("a heartbeat is answered after the session has ended")
	}
	for range 4 {
		env.stepMembership()
	}
	if env.leader() != staying || len(staying.Membership.Nodes) != 1 {
		t.Fatalf("membership %+v after the stop", staying.Membership)
	}
	if leaving.Session != membership.NoLease {
		t.Fatalf("session %s", leaving.Session)
	}
	if err := leaving.election.RunSession(context.Background()); err != nil {
		t.Fatal(err) // it ends, and opens no new session
	}
	if err := leaving.Drain(context.Background()); err != nil {
		t.Fatalf("drained again: %v", err)
	}
}

// A controller that can't reach the store stops within its deadline; its session
// expires by itself.
func TestAGracefulStopDuringAStoreOutageEndsInTime(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.store.Unavailable = true
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_ = controller.Drain(ctx)
	if took := time.Since(begin); took > 2*tuning.StoreCallTimeout {
		t.Fatalf("it took %v", took)
	}
}

// Progress names the loop that has stalled, and for how long.
func TestAStalledLoopIsNamed(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	if err := controller.Progress(); err != nil {
		t.Fatalf("before the loops have begun: %v", err)
	}
	for l := range cluster.LoopCount {
		controller.RecordProgress(l)
	}
	env.clock.add(tuning.StallAfter / 2)
	controller.RecordProgress(cluster.SessionLoop)
	controller.RecordProgress(cluster.MembershipLoop)
	if err := controller.Progress(); err != nil {
		t.Fatal(err)
	}
	env.clock.add(tuning.StallAfter/2 + time.Second)
	if err := controller.Progress(); !errors.Is(err, cluster.ErrStalled) || err.Error() != "loop stalled: passes, for 21s" {
		t.Fatalf("%v", err)
	}
}
