package peer

import (
	"errors"
	"fmt"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"
)

func offsetVector(b *flatbuffers.Builder, offs []flatbuffers.UOffsetT, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	start(b, len(offs))
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	return b.EndVector(len(offs))
}

func durationToMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func millisToDuration(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// ErrMalformed says that a message could not be read.
var ErrMalformed = errors.New("malformed peer message")

// recoverMalformed turns the panic of a bad offset into an error: FlatBuffers for Go has
// no verifier.
func recoverMalformed(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrMalformed, r)
	}
}
