package membership

import "wheatspur/wire"

// CurrentFormat is the version of the stored formats that this program reads and writes.
// Version 1 added dependencies (jobs that are stored while they wait). Version 2 added
// memberships with a range of tokens above the one that names them, version 3 those with a
// range below it. It is stored only in the controller's session, next to the Controller rather
// than in it, so that program versions without format versions still compare Controllers
// correctly.
const CurrentFormat = 3

// Format versions with a meaning of their own.
const (
	// FormatDependencies is what all members have to support before a job is stored that
	// waits for others.
	FormatDependencies = 1
	// FormatTokenRanges is what a leader supports that gives every membership a range of
	// tokens.
	FormatTokenRanges = 3
)

// Session is the stored form of a controller's session.
type Session struct {
	Controller
	// Format is the newest format version that the controller supports; 0 if its program
	// version does not store one.
	Format uint64 `cbor:"v,omitempty"`
	// ProgramVersion is the version of the program, stored for operators.
	ProgramVersion string `cbor:"s,omitempty"`
}

// DecodeSession decodes the value of a session key.
func DecodeSession(raw wire.Raw) (*Session, error) { return decode[Session](raw) }

// AllSupportFormat reports whether the session of every member's current incarnation declares
// support for a format version. sessions are the stored sessions by label.
func (r *Record) AllSupportFormat(format uint64, sessions map[string]Session) bool {
	for _, member := range r.Members {
		if session, ok := sessions[member.Label]; !ok || session.Controller != member || session.Format < format {
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
// Any other event leaves the state unchanged, because answers may arrive late or twice. The
// controller makes two transitions itself, without an event: back to Leased when it finds
// that the stored session is not its own, and to NoLease when it shuts down.
type SessionState string

// States of a session. Their values are shown to operators.
const (
	// NoLease: the controller has no lease and hence no incarnation. It requests a lease
	// and takes no part in the membership.
	NoLease SessionState = "no lease"
	// Leased: the lease is granted, which starts an incarnation, and is being renewed. The
	// session key is not known to be stored. The controller stores it, and takes no part
	// in the election because the others can't see it yet.
	Leased SessionState = "leased"
	// Registered: the session key is stored under the lease. The controller takes part in
	// the election, and acts if the membership contains its incarnation. The state ends
	// with the lease, at the latest when a renewal finds that the lease has expired.
	Registered SessionState = "registered"
)

// SessionEvent is an event that may change the state of a session.
type SessionEvent string

// Events of a session.
const (
	// LeaseGranted: the store has granted a new lease.
	LeaseGranted SessionEvent = "got lease"
	// SessionStored: the session key is stored under the lease, according to the answer to
	// the write or to the watch.
	SessionStored SessionEvent = "stored"
	// LeaseExpired: the store reports that the lease does not exist any more.
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
