package quota

// Team is what operators set for a team: in each resource a limit and a
// guarantee; 0 stands for none.
type Team struct {
	Name      string
	Limit     Amount
	Guarantee Amount
}

// Limited reports whether the team has a limit in any resource.
func (t Team) Limited() bool { return t.Limit.CPUs > 0 || t.Limit.GPUs > 0 }

// Guaranteed reports whether the team has a guarantee in any resource.
func (t Team) Guaranteed() bool { return t.Guarantee.CPUs > 0 || t.Guarantee.GPUs > 0 }
