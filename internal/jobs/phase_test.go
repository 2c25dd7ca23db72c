package jobs

import "testing"

func TestJobPhaseTransitions(t *testing.T) {
	transitions := map[Phase]map[JobEvent]Phase{
		Waiting:   {EventRelease: Open, EventCancel: Cancelled},
		Open:      {EventComplete: Done, EventCancel: Cancelled},
		Done:      {},
		Cancelled: {},
	}
	for phase, byEvent := range transitions {
		for _, event := range []JobEvent{EventComplete, EventCancel, EventRelease} {
			t.Run(string(phase)+" "+string(event), func(t *testing.T) {
				want, allowed := byEvent[event]
				if !allowed {
					want = phase
				}
				if got, err := phase.Next(event); got != want || (err == nil) != allowed {
					t.Errorf("got %s, %v; want %s", got, err, want)
				}
			})
		}
	}
}
