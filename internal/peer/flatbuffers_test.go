package peer

import (
	"bytes"
	"errors"
	"testing"
)

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	decoders := map[string]func([]byte) error{
		"status":           func(message []byte) error { _, err := DecodeStatus(message); return err },
		"forward request":  func(message []byte) error { _, err := DecodeForwardRequest(message); return err },
		"forward response": func(message []byte) error { _, err := DecodeForwardResponse(message); return err },
	}
	messages := map[string][]byte{
		"empty":              nil,
		"too short":          []byte("short"),
		"root out of bounds": append(bytes.Repeat([]byte{0xff}, 4), 0, 0, 0, 0),
	}
	for decoder, decode := range decoders {
		for name, message := range messages {
			t.Run(decoder+" "+name, func(t *testing.T) {
				if err := decode(message); !errors.Is(err, ErrMalformed) {
					t.Errorf("got %v", err)
				}
			})
		}
	}
}

// FlatBuffers for Go has no verifier, so decoding a damaged message must return an error and
// not panic.
func FuzzDecode(f *testing.F) {
	status := sampleStatus()
	f.Add(status.Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0})
	request := ForwardRequest{"POST", "/work", []byte{1, 2}}
	f.Add(request.Encode())
	f.Fuzz(func(_ *testing.T, message []byte) {
		_, _ = DecodeStatus(message)
		_, _ = DecodeForwardRequest(message)
		_, _ = DecodeForwardResponse(message)
	})
}
