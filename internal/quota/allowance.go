package quota

// Allowance is what a pass of placement may still give to a team.
type Allowance struct {
	Used      Amount // by the team's claims on all machines
	Limit     Amount // 0: none
	Guarantee Amount // 0: none
	// Left is what each controller may still admit, by label; nil: the team has
	// no limit.
	Left map[string]Amount
}

// Take enters an admission at a controller.
func (a *Allowance) Take(controller string, amount Amount) {
	a.Used = a.Used.Add(amount)
	if a.Left != nil {
		a.Left[controller] = a.Left[controller].Sub(amount)
	}
}

// AtNode is how many of so many like tasks a controller may still admit.
func (a *Allowance) AtNode(controller string, need Amount, tasks int) int {
	if a.Left == nil {
		return tasks
	}
	left, count := a.Left[controller], 0
	for count < tasks && need.fits(left, a.Limit) {
		left = left.Sub(need)
		count++
	}
	return count
}

// Total is how many of so many like tasks the limit allows beside what is in
// use.
func (a *Allowance) Total(need Amount, tasks int) int {
	used, count := a.Used.Add(need), 0
	for count < tasks && used.Within(a.Limit) {
		used = used.Add(need)
		count++
	}
	return count
}

// WithinGuarantee reports whether so much use stays inside the guarantee. A
// team without a guarantee has nothing inside of it.
func (a *Allowance) WithinGuarantee(used Amount) bool {
	if a.Guarantee.CPUs <= 0 && a.Guarantee.GPUs <= 0 {
		return false
	}
	return used.Within(a.Guarantee)
}
