package store

import (
	"errors"
	"fmt"
)

// Classes of errors; errors.Is tells them apart. Only ErrOutcomeUnknown leaves open
// whether the store has executed, or will yet execute, the request.
var (
	// ErrRejected says that the store did not execute the request: it is over a
	// limit (429), unavailable (503), or all connections to it are in use.
	ErrRejected = errors.New("state service refused")
	// ErrOutcomeUnknown says that no answer came: the request may have been executed,
	// or may yet be.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrConflict says that a compare of a transaction failed; nothing was written.
	ErrConflict = errors.New("guard failed")
	// ErrLeaseExpired says that the lease of the request has expired or was revoked.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrCompacted says that the store no longer keeps the events after the revision
	// that a watch starts from; a full read has to come first.
	ErrCompacted = errors.New("watch position is too old")
	// ErrMalformed says that the store does not accept the request as it is, or that
	// it can't be encoded: repeating it is of no use.
	ErrMalformed = errors.New("state service holds the request malformed")
	// ErrQueueFull says that as many calls wait already as may: calls of the same
	// class for the limiter's budget, or callers for a read barrier.
	ErrQueueFull = errors.New("budget buffer is full")
)

// ConflictError is an ErrConflict with the keys whose compares failed.
type ConflictError struct {
	FailedCompares []string
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %v", ErrConflict, e.FailedCompares) }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// StatusError is an ErrMalformed: an answer with a status that has no meaning of
// its own for the call.
type StatusError struct {
	Call   string // what was asked for, for people
	Status int    // the HTTP status
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s: status %d", ErrMalformed, e.Call, e.Status)
}

// Unwrap returns ErrMalformed.
func (e *StatusError) Unwrap() error { return ErrMalformed }
