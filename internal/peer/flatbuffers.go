package peer

import (
	"errors"
	"fmt"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"
)

// ErrMalformed says that a message could not be read.
var ErrMalformed = errors.New("malformed peer message")

// minMessageSize is the size of the shortest message: the offset of its root
// table, and that table's offset of its vtable.
const minMessageSize = flatbuffers.SizeUOffsetT + flatbuffers.SizeSOffsetT

// noDuration stands for an absent duration in a message. Any negative number is
// read as one.
const noDuration = -1

// recoverMalformed turns the panic of a bad offset into an error: FlatBuffers for
// Go has no verifier.
func recoverMalformed(err *error) {
	switch cause := recover().(type) {
	case nil:
	case error:
		*err = fmt.Errorf("%w: %w", ErrMalformed, cause)
	default:
		*err = fmt.Errorf("%w: %v", ErrMalformed, cause)
	}
}

// checkVectorLength refuses a vector of offsets that is longer than its message
// could hold, before anything is allocated for it.
func checkVectorLength(length int, message []byte) error {
	if length > len(message)/flatbuffers.SizeUOffsetT {
		return ErrMalformed
	}
	return nil
}

// offsetVector writes a vector of offsets, which are prepended, so the last first.
func offsetVector(b *flatbuffers.Builder, offsets []flatbuffers.UOffsetT, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(b, len(offsets))
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	return b.EndVector(len(offsets))
}

func durationToMillis(d time.Duration) int64 {
	if d < 0 {
		return noDuration
	}
	return d.Milliseconds()
}

func millisToDuration(ms int64) time.Duration {
	if ms < 0 {
		return noDuration
	}
	return time.Duration(ms) * time.Millisecond
}
