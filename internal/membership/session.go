package membership

import "wheatspur/wire"

// CurrentFormat is the number of the stored forms that this program reads and writes.
// 1: pipelines (jobs that are stored waiting). 2: memberships that span several
// tokens. It stands beside the node in its
// session's key alone, so that versions which know no forms, and say none,
// compare nodes as ever.
const CurrentFormat = 2

// Forms that a node has to know for a thing to be done.
const (
	FormatDependencies = 1
	FormatTokenRanges  = 2
)

// Session is the stored form of a node's session.
type Session struct {
	Node
	Format         uint64 `cbor:"v,omitempty"`
	ProgramVersion string `cbor:"s,omitempty"` // of the program, for operators
}

// DecodeSession reads a session.
func DecodeSession(raw wire.Raw) (*Session, error) {
	var s Session
	if err := wire.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// AllSupport reports whether every member has told, in the session of its present
// incarnation, that it reads a form.
func (r *Record) AllSupport(form uint64, sessions map[string]Session) bool {
	for _, m := range r.Nodes {
		if s, ok := sessions[m.Label]; !ok || s.Node != m || s.Format < form {
			return false
		}
	}
	return true
}

// SessionState is the state of a node's own session.
type SessionState string

// States of a session.
const (
	NoLease    SessionState = "no lease"
	Leased     SessionState = "leased"     // lease held, not yet registered
	Registered SessionState = "registered" // session key stored
)

// SessionEvent changes a session.
type SessionEvent string

// Events of a session.
const (
	LeaseGranted  SessionEvent = "got lease"
	SessionStored SessionEvent = "stored"
	LeaseExpired  SessionEvent = "lease ended"
)

// Next is the one function that changes a session's state.
func (s SessionState) Next(e SessionEvent) SessionState {
	switch {
	case e == LeaseExpired:
		return NoLease
	case s == NoLease && e == LeaseGranted:
		return Leased
	case s == Leased && e == SessionStored:
		return Registered
	}
	return s
}
