package membership

import "wheatspur/wire"

// CurrentFormat is the number of the stored forms that this program reads and writes.
// 1: dependencies (jobs that are stored waiting). 2: memberships with a range of
// tokens. It stands beside the Node in the controller's session alone, so that
// versions which know no forms, and tell none, compare Nodes as ever.
const CurrentFormat = 2

// Forms that members have to know before something is stored in them.
const (
	FormatDependencies = 1
	FormatTokenRanges  = 2
)

// Session is the stored form of a controller's session.
type Session struct {
	Node
	// Format is the newest form that the controller knows; 0 if its version tells none.
	Format uint64 `cbor:"v,omitempty"`
	// ProgramVersion is the version of the program, for operators.
	ProgramVersion string `cbor:"s,omitempty"`
}

// DecodeSession decodes the value of a session's key.
func DecodeSession(raw wire.Raw) (*Session, error) { return decode[Session](raw) }

// AllSupport reports whether every member has told, in the session of its present
// incarnation, that it knows a form. sessions are the stored ones by label.
func (r *Record) AllSupport(format uint64, sessions map[string]Session) bool {
	for _, member := range r.Nodes {
		if session, ok := sessions[member.Label]; !ok || session.Node != member || session.Format < format {
			return false
		}
	}
	return true
}

// SessionState is the state of a controller's own session.
//
//	NoLease --LeaseGranted--> Leased --SessionStored--> Registered
//	   ^                         |                          |
//	   +-----LeaseExpired--------+-------LeaseExpired-------+
//
// Any other event leaves the state as it is: answers may come late, and twice. Two
// changes follow from no event, and the controller makes them itself: back to Leased
// when it sees that the stored session is not its own, and to NoLease when it shuts
// down.
type SessionState string

// States of a session. Their values are shown to operators.
const (
	// NoLease: the controller has no lease and hence no incarnation. It asks for a
	// lease and takes no part in the membership.
	NoLease SessionState = "no lease"
	// Leased: the lease is granted, which begins an incarnation, and is renewed. The
	// session's key is not known to be stored: the controller stores it, and takes no
	// part in the election, as others can't see it yet.
	Leased SessionState = "leased"
	// Registered: the session's key is stored under the lease. The controller takes part
	// in the election, and acts if the membership contains its incarnation. The state
	// ends with the lease, at the latest when a renewal finds it expired.
	Registered SessionState = "registered"
)

// SessionEvent is what changes a session's state.
type SessionEvent string

// Events of a session.
const (
	// LeaseGranted: the store has granted a new lease.
	LeaseGranted SessionEvent = "got lease"
	// SessionStored: the session's key is stored under the lease, by the answer to its
	// write or by the watch.
	SessionStored SessionEvent = "stored"
	// LeaseExpired: the store says that the lease is no more.
	LeaseExpired SessionEvent = "lease ended"
)

// Next returns the state after an event.
func (s SessionState) Next(event SessionEvent) SessionState {
	switch {
	case event == LeaseExpired:
		return NoLease
	case s == NoLease && event == LeaseGranted:
		return Leased
	case s == Leased && event == SessionStored:
		return Registered
	}
	return s
}
