package election

import (
	"time"

	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// membershipWrite is a guarded write of one of the keys that make up the membership.
type membershipWrite struct {
	compares     []wire.Compare
	operation    wire.Operation
	reachability bool // it is about whether this node reaches its workers
}

// nextMembershipWrite chooses what this node should write about the membership now,
// nil for nothing; the lock is held.
func (el *Election) nextMembershipWrite() *membershipWrite {
	if el.Session == membership.NoLease {
		return nil
	}
	el.reconcileSession()
	if el.Session == membership.Leased {
		return el.sessionWrite()
	}
	now := el.Now()
	unreachable := el.reachability(now).NextUnreachable()
	action := membership.Decide(membership.View{
		Self:                 el.Self,
		Sessions:             el.Sessions,
		Unreachable:          el.Unreachable,
		Leader:               el.Leader,
		Membership:           el.Membership,
		TokenRangesSupported: el.TokenRangesSupported(),
	})
	switch {
	case unreachable != el.Unreachable[el.Self.Label]:
		return el.reachabilityWrite(unreachable, now)
	case action.BecomeLeader:
		return el.leaderWrite()
	case action.WriteMembership != nil:
		return el.membershipRecordWrite(action.WriteMembership)
	}
	return nil
}

// reconcileSession brings the session's state in line with the key that is
// stored; the lock is held.
func (el *Election) reconcileSession() {
	stored := el.Sessions[el.Self.Label] == el.Self
	if el.Session == membership.Registered && !stored {
		// Guards against a late write of a former process of this node.
		el.Session = membership.Leased
	}
	if el.Session == membership.Leased && stored {
		el.Session = el.Session.Next(membership.SessionStored)
	}
}

// sessionWrite stores this node's session key; the lock is held.
func (el *Election) sessionWrite() *membershipWrite {
	key := membership.SessionKey(el.Self.Label)
	session := membership.Session{Node: el.Self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: el.Self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; the lock is held.
func (el *Election) reachabilityWrite(unreachable bool, now time.Time) *membershipWrite {
	key := membership.UnreachableKey(el.Self.Label)
	change := wire.Operation{Delete: key}
	if unreachable {
		change = wire.Operation{Put: key, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation}
		el.chooseProbes(now)
	}
	return &membershipWrite{
		compares:     []wire.Compare{el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation:    change,
		reachability: true,
	}
}

// leaderWrite takes the lead; the lock is held.
func (el *Election) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation},
	}
}

// membershipRecordWrite stores the next membership; the lock is held.
func (el *Election) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.Key)},
		operation: wire.Operation{Put: membership.Key, Value: wire.MustMarshal(next)},
	}
}
