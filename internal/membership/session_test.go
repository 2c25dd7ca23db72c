package membership

import "testing"

func TestSessionStates(t *testing.T) {
	s := NoLease
	for _, step := range []struct {
		e    SessionEvent
		want SessionState
	}{{SessionStored, NoLease}, {LeaseGranted, Leased}, {SessionStored, Registered}, {LeaseGranted, Registered}, {LeaseExpired, NoLease}} {
		if s = s.Next(step.e); s != step.want {
			t.Fatalf("after %s: %s, want %s", step.e, s, step.want)
		}
	}
}
