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
		t.Fatal("a lease that a former owner may renew counts as expired")
	}
	w.ApplyHeartbeat(newHeartbeat(1, 2, 5), 5, t0.Add(time.Second))
	w.LastAnsweredAt = t0.Add(10 * time.Second)
	if w.ExpireLease(w.LastAnsweredAt.Add(lease), lease) {
		t.Fatal("the lease expired without a margin for clock drift")
	}
	at := w.LastAnsweredAt.Add(lease + lease/100 + tuning.LeaseMargin)
	if ends := w.ProvenEnds(claims, at, lease); len(ends) != 1 || w.State != LeaseExpired {
		t.Fatalf("expired lease: ends %v in state %s, want one end", ends, w.State)
	}
	if commands := heartbeatCommands(w, claims, true); len(commands) != 0 {
		t.Fatalf("commands for an expired incarnation: %v", commands)
	}
	// A late heartbeat of the expired incarnation must not revive it.
	w.ApplyHeartbeat(newHeartbeat(1, 3, 5), 5, at)
	if w.State != LeaseExpired {
		t.Fatalf("state %s after a late heartbeat of the expired incarnation", w.State)
	}
	w.ApplyHeartbeat(newHeartbeat(2, 4, 5), 5, at)
	if w.State != TokenAcknowledged {
		t.Fatalf("state %s of a new incarnation that carries our token", w.State)
	}
}
