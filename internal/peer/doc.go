// Package peer defines the messages that controllers send each other, encoded as FlatBuffers,
// and the client that sends them. Every controller posts its status to its siblings. The
// response is the sibling's status, with the machines that have changed since the version that
// the sender knows. Controllers also forward user requests that they can't serve.
//
// Messages may be lost, late or duplicated, and none is stored. A status is a hint about
// liveness, and attests the last cancellation that the sender knows. Package fleet decides
// what follows from a status.
//
// The schema status.fbs defines the wire format, and package fb is generated from it. Some of
// its names differ from those in this package. Only this package uses them.
package peer

//go:generate flatc --go status.fbs
