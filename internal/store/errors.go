package store

import "errors"

// Outcomes of a call that did not succeed.
var (
	// ErrRejected: the service did not execute the request (429, 503).
	ErrRejected = errors.New("state service refused")
	// ErrOutcomeUnknown: no answer; the request may have been, or may yet be, executed.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrConflict: a guard failed.
	ErrConflict = errors.New("guard failed")
	// ErrLeaseExpired: the lease has ended.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrCompacted: the watch position is too old.
	ErrCompacted = errors.New("watch position is too old")
	// ErrMalformed: the service holds the request malformed.
	ErrMalformed = errors.New("state service holds the request malformed")
)

// ErrQueueFull says that a limiter's buffer for the class is full.
var ErrQueueFull = errors.New("budget buffer is full")
