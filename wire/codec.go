package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body in bytes, as JSON.
const MaxBody = 64 << 10

// ContentType is sent with every body.
const ContentType = "application/cbor"

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	if enc, err = (cbor.EncOptions{}).EncMode(); err != nil {
		panic(err)
	}
	opts := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		MaxMapPairs: 1 << 17, MaxArrayElements: 1 << 17, MaxNestedLevels: 16,
	}
	if dec, err = opts.DecMode(); err != nil {
		panic(err)
	}
}

// Raw is an undecoded CBOR value.
type Raw = cbor.RawMessage

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// MustMarshal encodes a value that is known to be encodable.
func MustMarshal(v any) []byte {
	b, err := enc.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return b
}

// Unmarshal decodes one CBOR value into v and refuses trailing bytes.
func Unmarshal(b []byte, v any) error { return dec.Unmarshal(b, v) }
