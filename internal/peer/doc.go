// Package peer owns the messages that controllers send each other, as
// FlatBuffers, and the client that sends them. Every controller posts its status
// to its siblings and gets theirs back, with the machines that have changed since
// the view that it has; and it forwards users' requests that it can't serve.
//
// Messages may be lost, late or repeated, and none is stored: what a status says
// is advice about liveness, and an attestation of the last cancellation that the
// sender knows. What follows from a status is decided by package controller.
// Package fb and its schema, status.fbs, are the wire format: the protocol's words
// stand there and nowhere else.
package peer

//go:generate flatc --go status.fbs
