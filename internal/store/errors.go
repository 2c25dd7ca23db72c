package store

import (
	"errors"
	"fmt"
)

// Errors of calls to the store, for errors.Is. Only ErrOutcomeUnknown leaves it open
// whether the store has executed the request or may still execute it.
var (
	// ErrRejected is returned when the store did not execute the request: a rate limit
	// was exceeded (429), the store is unavailable (503), or all connections to it are
	// in use.
	ErrRejected = errors.New("state service request rejected")
	// ErrOutcomeUnknown is returned when no valid response arrived: the request may
	// have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("state service request outcome unknown")
	// ErrConflict is returned when a compare of a transaction failed; nothing was
	// written.
	ErrConflict = errors.New("transaction compare failed")
	// ErrLeaseExpired is returned when the lease of the request has expired or was
	// revoked.
	ErrLeaseExpired = errors.New("lease expired or revoked")
	// ErrCompacted is returned when the store no longer keeps the events after the
	// revision that a watch starts from; a full read is needed before the next watch.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrMalformed is returned when the store does not accept the request in its
	// present form, or when the request cannot be encoded: a retry would fail again.
	ErrMalformed = errors.New("malformed state service request")
	// ErrQueueFull is returned when the limit of waiting calls is reached: calls of one
	// class that wait for the limiter's budget, or callers of a read barrier.
	ErrQueueFull = errors.New("request queue full")
)

// ConflictError is an ErrConflict that lists the keys whose compares failed.
type ConflictError struct {
	FailedCompares []string
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("%v: %v", ErrConflict, e.FailedCompares) }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// StatusError is an ErrMalformed that holds the status of the response, for statuses
// that the call does not map to another error.
type StatusError struct {
	Call   string // description of the call
	Status int    // HTTP status
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s: status %d", ErrMalformed, e.Call, e.Status)
}

// Unwrap returns ErrMalformed.
func (e *StatusError) Unwrap() error { return ErrMalformed }
