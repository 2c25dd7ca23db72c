package quota

import (
	"maps"
	"slices"
)

// Summary is the state of a team that operators are shown.
type Summary struct {
	Team      Team
	Phase     Phase
	Damage    error // why the record of shares can't be used; nil: it can
	Used      Amount
	Borrowed  Amount // used beyond the guarantee
	InFlight  Amount // admitted by this controller; the write is in flight
	Uncertain Amount // admitted by this controller; the outcome of the write is unknown
	Reserved  *Reservation
	Shares    []ControllerShare // sorted by the controller's label
}

// ControllerShare is one controller's share of a team's limit, for the resources that
// have a limit.
type ControllerShare struct {
	Controller string // label of the controller
	Share      Amount
	Claimed    Amount // by the claims on the controller's machines
}

// Summary returns the summary of a team, or nil if the team is not configured. used
// is what the team's claims take.
func (m *Manager) Summary(v View, team string, used Amount) *Summary {
	l := m.byTeam[team]
	if l == nil {
		return nil
	}
	s := &Summary{Team: l.team, Phase: l.Phase(v.FencingToken), Damage: l.DamageError(), Used: used,
		Borrowed: used.Sub(l.team.Guarantee).Max(Amount{})}
	s.InFlight, s.Uncertain = l.UnconfirmedAmounts()
	if r, ok := m.Reserved(team); ok {
		s.Reserved = &r
	}
	for _, controller := range slices.Sorted(maps.Keys(l.record.Shares)) {
		share := l.record.Shares[controller].Amount().maskUnlimited(l.team.Limit)
		claimed := v.claimedBy(controller, team).maskUnlimited(l.team.Limit)
		s.Shares = append(s.Shares, ControllerShare{Controller: controller, Share: share, Claimed: claimed})
	}
	return s
}
