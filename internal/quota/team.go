package quota

// Team holds the settings of a team: a limit and a guarantee for each resource,
// where 0 means that there is none.
type Team struct {
	Name      string
	Limit     Amount
	Guarantee Amount
}

// Limited reports whether the team has a limit in any resource.
func (t Team) Limited() bool { return t.Limit.CPUs > 0 || t.Limit.GPUs > 0 }

// Guaranteed reports whether the team has a guarantee in any resource.
func (t Team) Guaranteed() bool { return t.Guarantee.CPUs > 0 || t.Guarantee.GPUs > 0 }
