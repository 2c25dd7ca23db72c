package worker

// TokenState is what the owner of a machine knows of its worker's session.
type TokenState string

// States of a worker's session, as its owner sees it.
const (
	// TokenUnacknowledged: no report of the current session has shown our token yet; a
	// former owner's commands may still be under way.
	TokenUnacknowledged TokenState = "unproven"
	// TokenAcknowledged: a report of the current session has shown our token, so that all
	// commands under lower tokens are dead. It stays proven under the tokens
	// after it for as long as each membership gives the machine to this node.
	TokenAcknowledged TokenState = "proven"
	// LeaseExpired: the worker's lease has surely ended; everything in the session
	// is gone.
	LeaseExpired TokenState = "expired"
)

// TokenEvent changes a session's state.
type TokenEvent string

// Events of a worker's session.
const (
	EventTokenRaised       TokenEvent = "token raised" // our membership has changed, and another node may have owned the machine
	EventTokenAcknowledged TokenEvent = "token shown"  // a newer report shows our token
	EventNewIncarnation    TokenEvent = "new session"
	EventLeaseExpired      TokenEvent = "lease ended"
)

// Next is the one function that changes a worker session's state.
func (s TokenState) Next(e TokenEvent) TokenState {
	switch {
	case e == EventNewIncarnation:
		return TokenUnacknowledged
	case s == LeaseExpired:
		return LeaseExpired // only a new session leaves it
	case e == EventTokenRaised:
		return TokenUnacknowledged
	case e == EventTokenAcknowledged:
		return TokenAcknowledged
	case e == EventLeaseExpired && s == TokenAcknowledged:
		return LeaseExpired
	}
	return s
}

// RaiseToken notes that our membership has changed, and that another node may
// have owned the machine meanwhile.
func (w *Worker) RaiseToken() {
	w.State = w.State.Next(EventTokenRaised)
	w.MarkChanged()
}
