package quota

import "math"

// epsilon absorbs the rounding of sums of decimal amounts.
const epsilon = 1e-6

// Amount is an amount of the resources that teams have limits in.
type Amount struct{ CPUs, GPUs float64 }

// Add returns the sum.
func (a Amount) Add(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Sub returns the difference.
func (a Amount) Sub(b Amount) Amount { return Amount{a.CPUs - b.CPUs, a.GPUs - b.GPUs} }

// Times returns the amount multiplied by a factor.
func (a Amount) Times(factor float64) Amount { return Amount{a.CPUs * factor, a.GPUs * factor} }

// Max returns the larger of both in each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// Min returns the smaller of both in each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// IsZero reports whether there is nothing of any resource, leaving aside
// rounding.
func (a Amount) IsZero() bool { return math.Abs(a.CPUs) <= epsilon && math.Abs(a.GPUs) <= epsilon }

// Within reports whether the amount stays inside a limit, in which 0 stands for
// no limit.
func (a Amount) Within(limit Amount) bool {
	return withinLimit(a.CPUs, limit.CPUs) && withinLimit(a.GPUs, limit.GPUs)
}

func withinLimit(value, limit float64) bool { return limit <= 0 || value <= limit+epsilon }

// finite reports whether both numbers are neither infinite nor NaN.
func (a Amount) finite() bool {
	return !math.IsInf(a.CPUs, 0) && !math.IsNaN(a.CPUs) && !math.IsInf(a.GPUs, 0) && !math.IsNaN(a.GPUs)
}

// maskUnlimited keeps the resources that a limit names.
func (a Amount) maskUnlimited(limit Amount) Amount {
	if limit.CPUs <= 0 {
		a.CPUs = 0
	}
	if limit.GPUs <= 0 {
		a.GPUs = 0
	}
	return a
}

// fits reports whether the amount is no more than the room, in the resources
// that the limit names.
func (a Amount) fits(available, limit Amount) bool {
	a, available = a.maskUnlimited(limit), available.maskUnlimited(limit)
	return a.CPUs <= available.CPUs+epsilon && a.GPUs <= available.GPUs+epsilon
}

// coverage is how much of the amount some room covers, from 0 to 1, in the
// resource that it covers least.
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

// differsByFactorOfTwo reports whether an amount is twice another or half of it, in
// any resource.
func (a Amount) differsByFactorOfTwo(b Amount) bool {
	atLeastDouble := func(x, y float64) bool { return max(x, y) > epsilon && max(x, y) >= 2*min(x, y) }
	return atLeastDouble(a.CPUs, b.CPUs) || atLeastDouble(a.GPUs, b.GPUs)
}

// scaled is an amount multiplied by a factor for each resource.
func (a Amount) scaled(factor Amount) Amount {
	return Amount{a.CPUs * factor.CPUs, a.GPUs * factor.GPUs}
}
