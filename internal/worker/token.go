package worker

// TokenState is what the owner of a machine knows about its worker's current incarnation: whether
// it has acknowledged the owner's fencing token, and whether its lease has expired.
//
// TokenState is the state machine. recovery.WorkerState has the same three states but is only an
// input of the pure decision about one task: package recovery, which this package imports, knows
// neither workers nor the events that change their state. observedWorker is the only place that
// maps one to the other.
type TokenState string

// States of a worker's incarnation, as the machine's owner sees it.
const (
	// TokenUnacknowledged means that no message of this incarnation has carried our fencing token
	// yet: the worker may still carry out commands of a former owner.
	TokenUnacknowledged TokenState = "unproven"
	// TokenAcknowledged means that a message of this incarnation has carried our fencing token, so
	// that the worker refuses all commands with lower tokens. The state is kept when our token
	// grows, as long as every membership in between assigns the machine to this controller.
	TokenAcknowledged TokenState = "proven"
	// LeaseExpired means that the worker's lease is proven to have expired: none of the tasks of
	// this incarnation runs any more.
	LeaseExpired TokenState = "expired"
)

// TokenEvent is an event that may change a TokenState.
type TokenEvent string

// Events that may change the state of a worker's incarnation.
const (
	EventTokenRaised       TokenEvent = "token raised" // our membership has changed, and another controller may have owned the machine
	EventTokenAcknowledged TokenEvent = "token shown"  // a newer message carries our token
	EventNewIncarnation    TokenEvent = "new session"
	EventLeaseExpired      TokenEvent = "lease ended"
)

// Next returns the state after an event. All changes of a TokenState go through it.
func (s TokenState) Next(event TokenEvent) TokenState {
	switch {
	case event == EventNewIncarnation:
		return TokenUnacknowledged
	case s == LeaseExpired:
		return LeaseExpired // only a new incarnation leaves this state
	case event == EventTokenRaised:
		return TokenUnacknowledged
	case event == EventTokenAcknowledged:
		return TokenAcknowledged
	case event == EventLeaseExpired && s == TokenAcknowledged:
		return LeaseExpired
	}
	return s
}

// RequireAcknowledgement makes the worker acknowledge our fencing token anew: our membership has
// changed, and another controller may have owned the machine in the meantime.
func (w *Worker) RequireAcknowledgement() {
	w.State = w.State.Next(EventTokenRaised)
	w.MarkChanged()
}
