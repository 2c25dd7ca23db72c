package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In a window of any length, the pacer admits at most the starts that its rate allows for the
// window and one second more.
func TestPacerLimitsRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		now := time.UnixMilli(0)
		p := NewPacer(float64(rate), now)
		var admitted []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "set backlog") {
				p.SetBacklog(Backlog{ServiceStart: rapid.IntRange(0, 30).Draw(t, "services"), ArrayStart: rapid.IntRange(0, 90).Draw(t, "arrays")})
			}
			for range rapid.IntRange(0, 60).Draw(t, "attempts") {
				if p.Admit(StartClass(rapid.IntRange(0, 1).Draw(t, "class")), now) {
					admitted = append(admitted, now)
				}
			}
		}
		for first := range admitted {
			for last := first; last < len(admitted); last++ {
				window := admitted[last].Sub(admitted[first]).Seconds()
				if starts := last - first + 1; float64(starts) > float64(rate)*(window+1)+1e-6 {
					t.Fatalf("%d starts in %v s at a rate of %d per second", starts, window, rate)
				}
			}
		}
	})
}

// countAdmitted returns how many of a number of starts at the same instant are admitted.
func countAdmitted(p *Pacer, c StartClass, tries int, now time.Time) int {
	admitted := 0
	for range tries {
		if p.Admit(c, now) {
			admitted++
		}
	}
	return admitted
}

// Starts of arrays leave enough tokens for the services that wait.
func TestPacerReservesTokensForServices(t *testing.T) {
	now := time.UnixMilli(0)
	p := NewPacer(10, now)
	p.SetBacklog(Backlog{ServiceStart: 8, ArrayStart: 100})
	arrays, services := countAdmitted(p, ArrayStart, 20, now), countAdmitted(p, ServiceStart, 20, now)
	if arrays != 2 || services != 8 {
		t.Fatalf("admitted %d arrays and %d services, want 2 and 8", arrays, services)
	}
}

func TestPacerWithoutRateAdmitsAll(t *testing.T) {
	now := time.UnixMilli(0)
	if admitted := countAdmitted(NewPacer(0, now), ArrayStart, 1000, now); admitted != 1000 {
		t.Fatalf("a pacer without a rate rejected %d starts", 1000-admitted)
	}
}
