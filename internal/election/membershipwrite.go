package election

import (
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// membershipWrite is a compare-and-swap of one of the keys of package membership.
type membershipWrite struct {
	compares            []wire.Compare
	operation           wire.Operation
	changesReachability bool // the write stores whether workers reach this controller
}

// nextMembershipWrite returns the write that this controller has to make now, or nil if there
// is none. The lock is held.
func (el *Election) nextMembershipWrite() *membershipWrite {
	if el.Session == membership.NoLease {
		return nil
	}
	el.reconcileSession()
	if el.Session == membership.Leased {
		return el.sessionWrite()
	}
	now := el.Now()
	unreachable := el.reachability(now).CountsAsUnreachable()
	action := membership.Decide(membership.View{
		Self:                   el.Self,
		Sessions:               el.Sessions,
		Unreachable:            el.Unreachable,
		Leader:                 el.Leader,
		Membership:             el.Membership,
		LeaderLacksTokenRanges: el.LeaderLacksTokenRanges(),
		MachinesAccounted:      !el.Recovery.Progress.MachinesUnaccounted(),
	})
	switch {
	case unreachable != el.Unreachable[el.Self.Label]:
		if unreachable {
			el.chooseProbes(now)
		}
		return el.reachabilityWrite(unreachable)
	case action.BecomeLeader:
		return el.leaderWrite()
	case action.WriteMembership != nil:
		return el.membershipRecordWrite(action.WriteMembership)
	}
	return nil
}

// reconcileSession updates the state of the session to match the stored session key. The lock
// is held.
func (el *Election) reconcileSession() {
	stored := el.Sessions[el.Self.Label] == el.Self
	if el.Session == membership.Registered && !stored {
		// A delayed write by a former process of this controller may replace the stored
		// session, which then has to be stored again.
		el.Session = membership.Leased
	}
	if el.Session == membership.Leased && stored {
		el.Session = el.Session.Next(membership.SessionStored)
	}
}

// sessionWrite returns the write that stores this controller's session. The lock is held.
func (el *Election) sessionWrite() *membershipWrite {
	key := membership.SessionKey(el.Self.Label)
	session := membership.Session{Controller: el.Self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: el.Self.Incarnation},
	}
}

// reachabilityWrite returns the write that stores whether workers reach this controller. The
// lock is held.
func (el *Election) reachabilityWrite(unreachable bool) *membershipWrite {
	key := membership.UnreachableKey(el.Self.Label)
	operation := wire.Operation{Delete: key}
	if unreachable {
		operation = wire.Operation{Put: key, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation}
	}
	return &membershipWrite{
		compares:            []wire.Compare{el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation:           operation,
		changesReachability: true,
	}
}

// leaderWrite returns the write that acquires the leadership. The lock is held.
func (el *Election) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation},
	}
}

// membershipRecordWrite returns the write that stores the next membership. The lock is held.
func (el *Election) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.RecordKey)},
		operation: wire.Operation{Put: membership.RecordKey, Value: wire.MustMarshal(next)},
	}
}
