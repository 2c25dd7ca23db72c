package quota

// Allowance is the quota that a placement pass may still grant to a team.
type Allowance struct {
	Used      Amount // by the team's claims on all machines
	Limit     Amount // 0: none
	Guarantee Amount // 0: no guarantee for that resource
	// Remaining is the quota that each controller may still admit, by the controller's
	// label; nil: the team has no limit.
	Remaining map[string]Amount
}

// Deduct subtracts an admission by a controller.
func (a *Allowance) Deduct(controller string, amount Amount) {
	a.Used = a.Used.Add(amount)
	if a.Remaining != nil {
		a.Remaining[controller] = a.Remaining[controller].Sub(amount)
	}
}

// MaxTasksAt returns how many of the given number of identical tasks a controller may
// still admit.
func (a *Allowance) MaxTasksAt(controller string, need Amount, tasks int) int {
	if a.Remaining == nil {
		return tasks
	}
	left, count := a.Remaining[controller], 0
	for count < tasks && need.fits(left, a.Limit) {
		left = left.Sub(need)
		count++
	}
	return count
}

// MaxTasks returns how many of the given number of identical tasks fit the limit in
// addition to what is in use.
func (a *Allowance) MaxTasks(need Amount, tasks int) int {
	used, count := a.Used.Add(need), 0
	for count < tasks && used.WithinLimit(a.Limit) {
		used = used.Add(need)
		count++
	}
	return count
}

// WithinGuarantee reports whether an amount in use does not exceed the guarantee. Only
// resources with a guarantee are checked. It is false for a team that has none at all.
func (a *Allowance) WithinGuarantee(used Amount) bool {
	if a.Guarantee.CPUs <= 0 && a.Guarantee.GPUs <= 0 {
		return false
	}
	return used.WithinLimit(a.Guarantee)
}
