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
func (a Amount) Times(f float64) Amount { return Amount{a.CPUs * f, a.GPUs * f} }

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

// onlyLimited keeps the resources that a limit names.
func (a Amount) onlyLimited(limit Amount) Amount {
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
func (a Amount) fits(room, limit Amount) bool {
	a, room = a.onlyLimited(limit), room.onlyLimited(limit)
	return a.CPUs <= room.CPUs+epsilon && a.GPUs <= room.GPUs+epsilon
}

// coverage is how much of the amount some room covers, from 0 to 1, in the
// resource that it covers least.
func (a Amount) coverage(room, limit Amount) float64 {
	least := 1.0
	if limit.CPUs > 0 && a.CPUs > epsilon {
		least = min(least, room.CPUs/a.CPUs)
	}
	if limit.GPUs > 0 && a.GPUs > epsilon {
		least = min(least, room.GPUs/a.GPUs)
	}
	return max(0, least)
}

// differsTwofold reports whether an amount is twice another or half of it, in
// any resource.
func (a Amount) differsTwofold(b Amount) bool {
	twofold := func(x, y float64) bool { return max(x, y) > epsilon && max(x, y) >= 2*min(x, y) }
	return twofold(a.CPUs, b.CPUs) || twofold(a.GPUs, b.GPUs)
}

// scaled is an amount multiplied by a factor for each resource.
func (a Amount) scaled(by Amount) Amount { return Amount{a.CPUs * by.CPUs, a.GPUs * by.GPUs} }
