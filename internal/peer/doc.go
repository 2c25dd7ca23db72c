// Package peer is what controller nodes say to each other: every node posts
// its status to its siblings and gets theirs back, with the machines that have
// changed since it last did, as FlatBuffers. Nothing
// that the rules rest on travels this way; it is advice about liveness.
package peer

//go:generate flatc --go status.fbs
