package member

import (
	"testing"
	"time"

	"wheatspur/internal/tuning"
)

// A node that renews late asks for longer leases, up to a bound; one that was cut
// off while it was punctual does not, and neither does the first.
func TestASlowNodeAsksForALongerLease(t *testing.T) {
	at := time.Unix(1000, 0)
	r := NewRenewal()
	end := func(late time.Duration) time.Duration {
		r.Attempted(at, at.Add(late))
		r.Ended()
		return r.TTL()
	}
	steps := []struct {
		late, ttl time.Duration
	}{
		{3 * time.Second, 2 * tuning.SessionTTL},
		{tuning.SessionLate, min(4*tuning.SessionTTL, tuning.SessionTTLMost)},
		{9 * time.Second, tuning.SessionTTLMost},
		{9 * time.Second, tuning.SessionTTLMost},
		{tuning.SessionLate - 1, tuning.SessionTTL},
		{time.Second, 2 * tuning.SessionTTL},
	}
	if got := r.TTL(); got != tuning.SessionTTL {
		t.Fatalf("the first lease lasts %s", got)
	}
	for i, step := range steps {
		if got := end(step.late); got != step.ttl {
			t.Errorf("step %d: after a renewal that was %s late: %s, want %s", i, step.late, got, step.ttl)
		}
	}
	// A lease that ends before its first renewal says nothing of the node.
	r.Ended()
	if got := r.TTL(); got != tuning.SessionTTL {
		t.Errorf("a lease that ended at once: %s", got)
	}
}
