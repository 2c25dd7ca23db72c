package autoscale

import (
	"testing"

	"wheatspur/wire"
)

// A few machines in ten boot late. One spare machine a few is much for a small
// scale-out and little for a large one.
func TestLateBootHedgeGrowsSlowerThanScaleOut(t *testing.T) {
	job := newDemand(wire.KindService, 8).Job
	p := &planner{input: newInput()}
	few, many := p.lateBootHedge(job, 8), p.lateBootHedge(job, 800)
	if few < 2 || few > 8 || many < 80 || many > 200 {
		t.Fatalf("%d tasks beside 8, %d beside 800", few, many)
	}
}
