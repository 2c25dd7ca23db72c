package worker

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

func TestLeaseExpiresOnlyAfterLastAnswer(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 1, 4), 5, t0)
	if w.ExpireLease(t0.Add(time.Hour), lease) {
		t.Fatal("a lease that a former owner may renew was taken to have expired")
	}
	w.ApplyHeartbeat(newHeartbeat(1, 2, 5), 5, t0.Add(time.Second))
	w.LastAnswered = t0.Add(10 * time.Second)
	if w.ExpireLease(w.LastAnswered.Add(lease), lease) {
		t.Fatal("the lease expired without a margin for drift")
	}
	at := w.LastAnswered.Add(lease + lease/100 + tuning.LeaseMargin)
	if ends := w.ProvenEnds(claims, at, lease); len(ends) != 1 || w.State != LeaseExpired {
		t.Fatalf("an expired lease released %v in state %s", ends, w.State)
	}
	if commands := heartbeatCommands(w, claims, true); len(commands) != 0 {
		t.Fatalf("an expired incarnation got commands: %v", commands)
	}
	// A late heartbeat of the expired incarnation must not revive it.
	w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, at)
	if w.State != LeaseExpired {
		t.Fatalf("a late heartbeat made the incarnation %s", w.State)
	}
	w.ApplyHeartbeat(newHeartbeat(2, 4, 5), 5, at)
	if w.State != TokenAcknowledged {
		t.Fatalf("a new incarnation at our token is %s", w.State)
	}
}
