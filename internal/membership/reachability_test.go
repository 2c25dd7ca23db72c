package membership

import (
	"fmt"
	"slices"
	"testing"

	"wheatspur/internal/tuning"
)

func TestCountsAsUnreachable(t *testing.T) {
	for _, c := range []struct {
		name string
		Reachability
		want bool
	}{
		{"a single silent machine may itself be at fault", Reachability{SilentMachines: 1, SiblingReceivesHeartbeats: true}, false},
		{"siblings hear nothing either", Reachability{SilentMachines: 5}, false},
		{"another machine is heard", Reachability{SilentMachines: 5, HeardMachines: 1, SiblingReceivesHeartbeats: true}, false},
		{"several machines are silent while a sibling hears its own", Reachability{SilentMachines: 2, SiblingReceivesHeartbeats: true}, true},
		{"no worker has answered yet", Reachability{Unreachable: true}, true},
		{"a worker answers", Reachability{Unreachable: true, MayBecomeReachable: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.CountsAsUnreachable(); got != c.want {
				t.Errorf("unreachable: %v, want %v", got, c.want)
			}
		})
	}
}

// A controller that is cut off from the workers, and from nothing else, must lose its
// machines. If it keeps them, its siblings redirect the workers back to it until the
// leases of the workers expire.
func TestUnreachableMemberOwnsNoMachines(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	view := View{Self: a, Sessions: map[string]Controller{"a": a, "b": b}, Leader: &a}
	view.Membership = requireMembership(t, view, 1, "first")
	view.Unreachable = map[string]bool{"b": true}
	record := requireMembership(t, view, tuning.TokenRange+1, "b is unreachable")
	if !record.Contains(b) || !slices.Equal(record.Unreachable, []string{"b"}) {
		t.Fatalf("b is unreachable: %+v", record)
	}
	for i := range 50 {
		if owner := record.ShardOwner(fmt.Sprint("host-", i)); owner != "a" {
			t.Fatalf("a machine is owned by %s", owner)
		}
	}
	view.Membership = record
	requireNoAction(t, view, "nothing has changed")
	view.Unreachable["a"] = true
	if record = requireMembership(t, view, 2*tuning.TokenRange+1, "all are unreachable"); len(record.Unreachable) != 0 {
		t.Fatalf("all are unreachable and nobody owns the machines: %+v", record)
	}
}
