package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body, in bytes of its JSON form. The controllers apply
// it to the CBOR form of the requests of users and workers.
const MaxBody = 64 << 10

// ContentType is the content type of every body.
const ContentType = "application/cbor"

// Decoding limits, so that a malicious body can't make the decoder allocate without bound.
const (
	maxElements = 1 << 17 // per map or array; well above MaxTasks
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

// MustMarshal encodes v, which must be encodable, as CBOR. It panics on an error.
func MustMarshal(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: cannot encode %T: %v", v, err))
	}
	return b
}

// Unmarshal decodes one CBOR value into v. Trailing bytes and duplicate map keys are errors.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }
