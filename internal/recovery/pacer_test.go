package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In no time of any length do more starts go than its rate, and a second's worth.
func TestThePacerKeepsItsRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		now := time.UnixMilli(0)
		p := NewPacer(float64(rate), now)
		var admitted []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "count") {
				p.SetBacklog(Backlog{rapid.IntRange(0, 30).Draw(t, "services"), rapid.IntRange(0, 90).Draw(t, "arrays")})
			}
			for range rapid.IntRange(0, 60).Draw(t, "tries") {
				if p.Admit(Class(rapid.IntRange(0, 1).Draw(t, "class")), now) {
					admitted = append(admitted, now)
				}
			}
		}
		for first := range admitted {
			for last := first; last < len(admitted); last++ {
				span := admitted[last].Sub(admitted[first]).Seconds()
				if n := last - first + 1; float64(n) > float64(rate)*(span+1)+1e-6 {
					t.Fatalf("%d starts in %v s at %d a second", n, span, rate)
				}
			}
		}
	})
}

// Starts of arrays leave what services that wait need.
func TestServicesStartFirst(t *testing.T) {
	now := time.UnixMilli(0)
	p := NewPacer(10, now)
	p.SetBacklog(Backlog{8, 100})
	arrays, services := 0, 0
	for range 20 {
		if p.Admit(ArrayStart, now) {
			arrays++
		}
	}
	for range 20 {
		if p.Admit(ServiceStart, now) {
			services++
		}
	}
	if arrays != 2 || services != 8 {
		t.Fatalf("%d arrays and %d services of ten", arrays, services)
	}
	free := NewPacer(0, now)
	for range 1000 {
		if !free.Admit(ArrayStart, now) {
			t.Fatal("a pacer without a rate holds a start back")
		}
	}
}
