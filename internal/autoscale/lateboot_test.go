package autoscale

import (
	"testing"

	"wheatspur/wire"
)

// A few machines in ten boot late. A reserve proportional to the scale-out would be too large for a
// small scale-out or too small for a large one.
func TestLateBootReserveGrowsSlowerThanScaleOut(t *testing.T) {
	job := newDemand(wire.KindService, 8).Job
	p := &planner{input: newInput()}
	few, many := p.lateBootReserve(job, 8), p.lateBootReserve(job, 800)
	if few < 2 || few > 8 || many < 80 || many > 200 {
		t.Fatalf("reserve of %d tasks for 8 waiting tasks, and of %d for 800", few, many)
	}
}
