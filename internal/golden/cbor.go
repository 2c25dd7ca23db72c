package golden

import "wheatspur/wire"

// CBORSample returns a sample of a CBOR format, which package wire encodes and decodes.
func CBORSample[T any](name string, value T) Sample {
	return Sample{
		Name:   name,
		Value:  &value,
		Encode: func() ([]byte, error) { return wire.Marshal(&value) },
		Decode: func(b []byte) (any, error) {
			decoded := new(T)
			err := wire.Unmarshal(b, decoded)
			return decoded, err
		},
	}
}
