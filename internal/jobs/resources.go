package jobs

import (
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// Resources are the amounts that a task requires or a machine provides. RAM is in GB.
type Resources struct{ CPUs, GPUs, RAM float64 }

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.RAM + other.RAM}
}

// Sub returns the difference.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.RAM - other.RAM}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPUs, other.CPUs), max(r.GPUs, other.GPUs), max(r.RAM, other.RAM)}
}

// Mul returns r multiplied by factor.
func (r Resources) Mul(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.RAM * factor}
}

// epsilon is the tolerance for rounding errors in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUs <= room.CPUs+epsilon && r.GPUs <= room.GPUs+epsilon && r.RAM <= room.RAM+epsilon
}

// Share returns the dominant share of r: the largest fraction of total that it takes in any
// resource.
func (r Resources) Share(total Resources) float64 {
	return max(shareOf(r.CPUs, total.CPUs), shareOf(r.GPUs, total.GPUs), shareOf(r.RAM, total.RAM))
}

// zeroTotalShare is the share that a positive amount takes of a total of zero. It is larger than any
// real share.
const zeroTotalShare = 1e9

// shareOf returns the share that an amount takes of a total.
func shareOf(amount, total float64) float64 {
	switch {
	case total > 0:
		return max(0, amount/total)
	case amount > 0:
		return zeroTotalShare
	}
	return 0
}

// QuotaAmount returns the resources that quota counts.
func (r Resources) QuotaAmount() quota.Amount { return quota.Amount{CPUs: r.CPUs, GPUs: r.GPUs} }

// ResourcesPerTask returns the resources that one task of the submission takes.
func ResourcesPerTask(spec *wire.JobSpec) Resources {
	return Resources{spec.CPUs, spec.GPUs, spec.RAMGB}
}
