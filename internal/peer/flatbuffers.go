package peer

import (
	"errors"
	"fmt"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"
)

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("malformed peer message")

// minMessageSize is the size of the shortest message: the offset of the root table, and the
// offset of that table's vtable.
const minMessageSize = flatbuffers.SizeUOffsetT + flatbuffers.SizeSOffsetT

// noDuration is the encoding of an absent duration. Every negative number is decoded as
// noDuration.
const noDuration = -1

// recoverMalformed turns the panic caused by an invalid offset into an error, because
// FlatBuffers for Go has no verifier.
func recoverMalformed(err *error) {
	switch cause := recover().(type) {
	case nil:
	case error:
		*err = fmt.Errorf("%w: %w", ErrMalformed, cause)
	default:
		*err = fmt.Errorf("%w: %v", ErrMalformed, cause)
	}
}

// checkVectorLength rejects a vector of offsets that is longer than its message can hold,
// before any memory is allocated for it.
func checkVectorLength(length int, message []byte) error {
	if length > len(message)/flatbuffers.SizeUOffsetT {
		return ErrMalformed
	}
	return nil
}

// offsetVector writes a vector of offsets. The builder prepends elements, so the last one is
// written first.
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
