// Package wire holds the public wire formats of wheatspur: the CBOR bodies
// that users, workers, the cloud and the state service exchange with the
// controllers. Clients may import it; nothing in it depends on the rest of
// the program.
//
// Names in Go are the field's terms. The protocol's own words (shard, rig,
// plot, baton, ...) stand in the cbor tags and in the values of constants.
package wire
