package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body in bytes, as JSON.
const MaxBody = 64 << 10

// ContentType is sent with every body.
const ContentType = "application/cbor"

// Bounds on what is decoded, so that a hostile body can't make the decoder
// allocate without limit.
const (
	maxElements = 1 << 17 // of a map or an array; well above MaxTasks
	maxNesting  = 16
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxMapPairs:      maxElements,
		MaxArrayElements: maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Raw is an undecoded CBOR value.
type Raw = cbor.RawMessage

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MustMarshal encodes a value that is known to be encodable.
func MustMarshal(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return b
}

// Unmarshal decodes one CBOR value into v and refuses trailing bytes and
// repeated keys.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }
