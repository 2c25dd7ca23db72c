package jobs

import (
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

// Resources are what a task takes and a machine has.
type Resources struct{ CPUs, GPUs, RAM float64 }

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.RAM + o.RAM}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.RAM - o.RAM}
}

// Max returns the larger amount of each.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUs, o.CPUs), max(r.GPUs, o.GPUs), max(r.RAM, o.RAM)}
}

// Times returns a multiple.
func (r Resources) Times(f float64) Resources {
	return Resources{r.CPUs * f, r.GPUs * f, r.RAM * f}
}

// epsilon forgives rounding in sums of decimal amounts.
const epsilon = 1e-6

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUs <= room.CPUs+epsilon && r.GPUs <= room.GPUs+epsilon && r.RAM <= room.RAM+epsilon
}

// Share is the largest share that r takes of total.
func (r Resources) Share(total Resources) float64 {
	return max(part(r.CPUs, total.CPUs), part(r.GPUs, total.GPUs), part(r.RAM, total.RAM))
}

// part is the share that an amount takes of a total; of nothing, more than any
// machine has.
func part(amount, total float64) float64 {
	switch {
	case total > 0:
		return max(0, amount/total)
	case amount > 0:
		return 1e9
	}
	return 0
}

// Amount is the part of the resources that teams have limits in.
func (r Resources) Amount() quota.Amount { return quota.Amount{CPUs: r.CPUs, GPUs: r.GPUs} }

// ResourcesPerTask is what one task of the submission takes.
func ResourcesPerTask(w *wire.JobSpec) Resources { return Resources{w.CPUs, w.GPUs, w.RAMGB} }
