package quota

import (
	"fmt"
	"testing"
)

// Every phase allows exactly the events of the table in docs/design/quota.md.
func TestPhaseTransitions(t *testing.T) {
	allowed := map[Phase]map[Event]Phase{
		Unlimited: {},
		Undivided: {DivideLimit: Shared},
		Shared:    {Freeze: Frozen, ReassignShare: Shared, Transfer: Shared},
		Frozen:    {DivideLimit: Shared},
		OverLimit: {Freeze: Frozen},
		Damaged:   {Freeze: Frozen},
	}
	for phase, events := range allowed {
		for _, event := range []Event{DivideLimit, Freeze, ReassignShare, Transfer} {
			t.Run(fmt.Sprintf("%s in phase %s", event, phase), func(t *testing.T) {
				next, err := phase.Next(event)
				want, ok := events[event]
				if ok != (err == nil) || ok && next != want || !ok && next != phase {
					t.Errorf("next phase %s, error %v", next, err)
				}
			})
		}
	}
}
