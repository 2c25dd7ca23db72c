package worker

// TokenState is what the owner of a machine knows of its worker's incarnation.
//
// recovery.WorkerState has the same three states: it is the input of the pure
// decision about one task, in a package that this one imports and that knows
// neither workers nor the events that change their state. TokenState is the
// state machine; observedWorker is the only place that maps it to the input.
type TokenState string

// States of a worker's incarnation, as the machine's owner sees it.
const (
	// TokenUnacknowledged: no message of this incarnation has carried our fencing
	// token yet; commands of a former owner may still be carried out.
	TokenUnacknowledged TokenState = "unproven"
	// TokenAcknowledged: a message of this incarnation has carried our fencing
	// token, so that the worker refuses all commands under lower tokens. The
	// state stays under the tokens after it for as long as each membership
	// gives the machine to this controller.
	TokenAcknowledged TokenState = "proven"
	// LeaseExpired: the worker's lease has surely expired; everything that this
	// incarnation ran is gone.
	LeaseExpired TokenState = "expired"
)

// TokenEvent changes a TokenState.
type TokenEvent string

// Events of a worker's incarnation.
const (
	EventTokenRaised       TokenEvent = "token raised" // our membership has changed, and another controller may have owned the machine
	EventTokenAcknowledged TokenEvent = "token shown"  // a newer message carries our token
	EventNewIncarnation    TokenEvent = "new session"
	EventLeaseExpired      TokenEvent = "lease ended"
)

// Next is the one function that changes a TokenState.
func (s TokenState) Next(event TokenEvent) TokenState {
	switch {
	case event == EventNewIncarnation:
		return TokenUnacknowledged
	case s == LeaseExpired:
		return LeaseExpired // only a new incarnation leaves it
	case event == EventTokenRaised:
		return TokenUnacknowledged
	case event == EventTokenAcknowledged:
		return TokenAcknowledged
	case event == EventLeaseExpired && s == TokenAcknowledged:
		return LeaseExpired
	}
	return s
}

// RequireAcknowledgement notes that our membership has changed, and that another controller
// may have owned the machine meanwhile.
func (w *Worker) RequireAcknowledgement() {
	w.State = w.State.Next(EventTokenRaised)
	w.MarkChanged()
}
