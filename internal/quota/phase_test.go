package quota

import (
	"fmt"
	"testing"
)

// Every phase allows exactly the events of the table in docs/design/quota.md.
func TestPhaseTransitions(t *testing.T) {
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
