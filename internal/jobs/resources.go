package jobs

import (
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// Resources are what a task takes and a machine has. RAM is in GB.
type Resources struct{ CPUs, GPUs, RAM float64 }

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.RAM + other.RAM}
}

// Sub returns the difference.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.RAM - other.RAM}
}

// Max returns the larger amount of each.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPUs, other.CPUs), max(r.GPUs, other.GPUs), max(r.RAM, other.RAM)}
}

// Times returns a multiple.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.RAM * factor}
}

// epsilon forgives rounding in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUs <= room.CPUs+epsilon && r.GPUs <= room.GPUs+epsilon && r.RAM <= room.RAM+epsilon
}

// Share is the dominant share of r: the largest that it takes of total in any
// resource.
func (r Resources) Share(total Resources) float64 {
	return max(shareOf(r.CPUs, total.CPUs), shareOf(r.GPUs, total.GPUs), shareOf(r.RAM, total.RAM))
}

// shareOfNothing is the share that an amount takes of a total of zero: larger
// than any real one.
const shareOfNothing = 1e9

// shareOf is the share that an amount takes of a total.
func shareOf(amount, total float64) float64 {
	switch {
	case total > 0:
		return max(0, amount/total)
	case amount > 0:
		return shareOfNothing
	}
	return 0
}

// Amount is the part of the resources that quota counts.
func (r Resources) Amount() quota.Amount { return quota.Amount{CPUs: r.CPUs, GPUs: r.GPUs} }

// ResourcesPerTask is what one task of the submission takes.
func ResourcesPerTask(spec *wire.JobSpec) Resources {
	return Resources{spec.CPUs, spec.GPUs, spec.RAMGB}
}
