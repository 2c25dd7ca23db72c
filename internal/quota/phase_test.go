package quota

import "testing"

// Every phase allows the writes of the design note's table, and no others.
func TestPhasesAllowTheirWritesOnly(t *testing.T) {
	allowed := map[Phase]map[Event]Phase{
		Unlimited: {},
		Unshared:  {ShareOut: Shared},
		Shared:    {Freeze: Frozen, HandOver: Shared, Transfer: Shared},
		Frozen:    {ShareOut: Shared},
		OverLimit: {Freeze: Frozen},
		Damaged:   {Freeze: Frozen},
	}
	for phase, events := range allowed {
		for _, event := range []Event{ShareOut, Freeze, HandOver, Transfer} {
			next, err := phase.Next(event)
			want, ok := events[event]
			if ok != (err == nil) || ok && next != want || !ok && next != phase {
				t.Errorf("%s of shares that are %s: %s, %v", event, phase, next, err)
			}
		}
	}
}
