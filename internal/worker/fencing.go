package worker

import "wheatspur/wire"

// This file fences off direct starts: a direct call may arrive late or twice until the worker has
// acknowledged a higher fencing token than the one it was sent with.

// mayStartArrive reports whether a direct start of the attempt, or a late copy of one, may still be
// carried out: the worker has not acknowledged a higher fencing token since it was sent.
func (w *Worker) mayStartArrive(attempt Attempt) bool {
	_, sent := w.directStarts[attempt]
	return sent
}

// dropFencedStarts forgets the direct starts with a lower fencing token than the worker has
// acknowledged: it refuses them from now on, and its message shows the effect of those that arrived
// before. A start with the same token may still arrive: it may have been sent before the
// acknowledgement and be delayed, or its copy may be.
func (w *Worker) dropFencedStarts() {
	for start := range w.pendingStarts {
		if start.token < w.AcknowledgedToken {
			delete(w.pendingStarts, start)
		}
	}
	for attempt, token := range w.directStarts {
		if token < w.AcknowledgedToken {
			delete(w.directStarts, attempt)
		}
	}
}

// CanStartDirectly reports whether starts may be sent in direct calls: the token that they would be
// sent with must be below maxToken, the last one of the current membership. Otherwise nothing could
// fence off a start that is held up, or a late copy of it, for as long as the membership lasts.
// membershipToken is the membership's first token.
func (w *Worker) CanStartDirectly(membershipToken, maxToken uint64) bool {
	return max(w.FencingToken, membershipToken) < maxToken
}

// FencePendingStarts raises the fencing token of our commands to this worker above that of every
// pending start: once a message of the worker carries the new token, the worker refuses those
// starts. It changes nothing if the token already is above them. It returns false if the tokens of
// the current membership, of which maxToken is the last, are used up.
func (w *Worker) FencePendingStarts(maxToken uint64) bool {
	pending := uint64(0) // the highest token of a pending start
	for start := range w.pendingStarts {
		pending = max(pending, start.token)
	}
	if !w.raiseTokenAbove(pending, maxToken) {
		return false
	}
	w.NoPendingCommands = false
	w.AwaitedToken = pending + 1
	return true
}

// FenceExitedAttempts raises the fencing token of our commands to this worker above those of the
// direct starts of all listed attempts that have exited, so that the attempts can be reaped once a
// message of the worker carries the new token. It reports whether it raised the token, and changes
// nothing if the token already is above them, or if it is maxToken, the last one of the current
// membership.
func (w *Worker) FenceExitedAttempts(maxToken uint64) bool {
	if len(w.directStarts) == 0 {
		return false
	}
	highest := uint64(0) // the highest token of a direct start of an exited attempt
	for id, status := range w.Tasks {
		if status.State == wire.TaskExited {
			highest = max(highest, w.directStarts[Attempt{id, status.Attempt}])
		}
	}
	for _, status := range w.OlderAttempts {
		if id, ok := taskIDOf(status); ok && status.State == wire.TaskExited {
			highest = max(highest, w.directStarts[Attempt{id, status.Attempt}])
		}
	}
	return w.FencingToken <= highest && w.raiseTokenAbove(highest, maxToken)
}

// raiseTokenAbove raises the fencing token above the given one, unless it is above it already. It
// returns false if it can't, because the token is maxToken.
func (w *Worker) raiseTokenAbove(token, maxToken uint64) bool {
	if w.FencingToken > token {
		return true
	}
	if w.FencingToken >= maxToken {
		return false
	}
	w.FencingToken++
	return true
}
