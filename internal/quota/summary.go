package quota

import (
	"maps"
	"slices"
)

// Summary is what operators are shown of a team.
type Summary struct {
	Team     Team
	Phase    Phase
	Damage   error // why the record of shares can't be used; nil: it can
	Used     Amount
	Borrowed Amount // used beyond the guarantee
	InFlight Amount // admitted by this controller, the write is under way
	InDoubt  Amount // admitted by this controller, the outcome of the write is not known
	Reserved *Reservation
	Shares   []NodeShare // by label
}

// NodeShare is one controller's part of a team's limit, in the resources that
// are limited.
type NodeShare struct {
	Node    string // label of the controller
	Share   Amount
	Claimed Amount // by the claims on the controller's machines
}

// Summary describes a team; nil if it is not in the settings. used is what its
// claims take.
func (m *Manager) Summary(v View, team string, used Amount) *Summary {
	l := m.byTeam[team]
	if l == nil {
		return nil
	}
	s := &Summary{Team: l.team, Phase: l.Phase(v.FencingToken), Damage: l.Damage(), Used: used,
		Borrowed: used.Sub(l.team.Guarantee).Max(Amount{})}
	s.InFlight, s.InDoubt = l.Pending()
	if r, ok := m.Reserved(team); ok {
		s.Reserved = &r
	}
	for _, controller := range slices.Sorted(maps.Keys(l.record.Shares)) {
		share := l.record.Shares[controller].Amount().maskUnlimited(l.team.Limit)
		claimed := v.claimedBy(controller, team).maskUnlimited(l.team.Limit)
		s.Shares = append(s.Shares, NodeShare{Node: controller, Share: share, Claimed: claimed})
	}
	return s
}
