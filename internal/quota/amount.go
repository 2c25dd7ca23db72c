package quota

import "math"

// epsilon is the tolerance for rounding errors in sums of decimal amounts.
const epsilon = 1e-6

// Amount is an amount of each resource that teams can have limits on.
type Amount struct{ CPUs, GPUs float64 }

// Add returns the sum of both amounts.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns the difference of both amounts.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Mul returns the amount multiplied by a factor.
func (a Amount) Mul(factor float64) Amount { return Amount{a.CPUs * factor, a.GPUs * factor} }

// Max returns the larger of both values for each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// Min returns the smaller of both values for each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// IsZero reports whether the amount of every resource is zero, up to rounding
// errors.
func (a Amount) IsZero() bool { return math.Abs(a.CPUs) <= epsilon && math.Abs(a.GPUs) <= epsilon }

// WithinLimit reports whether the amount does not exceed a limit, where 0 means no
// limit.
func (a Amount) WithinLimit(limit Amount) bool {
	return withinLimit(a.CPUs, limit.CPUs) && withinLimit(a.GPUs, limit.GPUs)
}

func withinLimit(value, limit float64) bool { return limit <= 0 || value <= limit+epsilon }

// finite reports whether both numbers are neither infinite nor NaN.
func (a Amount) finite() bool {
	return !math.IsInf(a.CPUs, 0) && !math.IsNaN(a.CPUs) && !math.IsInf(a.GPUs, 0) && !math.IsNaN(a.GPUs)
}

// maskUnlimited returns the amount with 0 for the resources that have no limit.
func (a Amount) maskUnlimited(limit Amount) Amount {
	if limit.CPUs <= 0 {
		a.CPUs = 0
	}
	if limit.GPUs <= 0 {
		a.GPUs = 0
	}
	return a
}

// fits reports whether the amount does not exceed what is available, for the
// resources that have a limit.
func (a Amount) fits(available, limit Amount) bool {
	a, available = a.maskUnlimited(limit), available.maskUnlimited(limit)
	return a.CPUs <= available.CPUs+epsilon && a.GPUs <= available.GPUs+epsilon
}

// coverage returns the fraction of the amount that is available, from 0 to 1, for
// the resource with the lowest fraction. Resources without a limit do not count.
func (a Amount) coverage(available, limit Amount) float64 {
	lowest := 1.0
	if limit.CPUs > 0 && a.CPUs > epsilon {
		lowest = min(lowest, available.CPUs/a.CPUs)
	}
	if limit.GPUs > 0 && a.GPUs > epsilon {
		lowest = min(lowest, available.GPUs/a.GPUs)
	}
	return max(0, lowest)
}

// differsByFactorOfTwo reports whether, for any resource, one of the amounts is at
// least twice the other.
func (a Amount) differsByFactorOfTwo(b Amount) bool {
	atLeastDouble := func(x, y float64) bool { return max(x, y) > epsilon && max(x, y) >= 2*min(x, y) }
	return atLeastDouble(a.CPUs, b.CPUs) || atLeastDouble(a.GPUs, b.GPUs)
}

// scaled returns the amount multiplied by a factor for each resource.
func (a Amount) scaled(factor Amount) Amount {
	return Amount{a.CPUs * factor.CPUs, a.GPUs * factor.GPUs}
}
