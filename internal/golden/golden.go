// Package golden checks that the encoding of messages and records does not change:
// it compares each sample with bytes that are kept in a file. It is for tests. The
// samples, and so which formats are checked, belong to the packages under test.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// File is where a package keeps its golden bytes, relative to the package: a JSON
// object of hexadecimal strings by the name of their sample.
const File = "testdata/golden.json"

// Sample is a value of one format, with every field filled.
type Sample struct {
	// Name is the key of the sample in the file.
	Name string
	// Value is a pointer to the value.
	Value any
	// Encode encodes Value.
	Encode func() ([]byte, error)
	// Decode decodes bytes into a new value and returns a pointer to it.
	Decode func([]byte) (any, error)
}

// Check encodes and decodes every sample and compares both results with the
// golden bytes. With update it rewrites the file instead.
func Check(t *testing.T, samples []Sample, update bool) {
	t.Helper()
	if update {
		writeFile(t, samples)
		return
	}
	want := readFile(t)
	for _, s := range samples {
		t.Run(s.Name, func(t *testing.T) {
			golden, ok := want[s.Name]
			if !ok {
				t.Fatalf("%s holds no golden bytes of it", File)
			}
			checkSample(t, s, golden)
		})
		delete(want, s.Name)
	}
	if len(want) > 0 {
		t.Errorf("%s holds golden bytes without a sample: %v", File, slices.Sorted(maps.Keys(want)))
	}
}

// checkSample checks one sample in both directions. A field that the sample leaves
// zero would hide a change of its encoding.
func checkSample(t *testing.T, s Sample, golden []byte) {
	t.Helper()
	for _, problem := range Unfilled(s.Value) {
		t.Errorf("sample: %s", problem)
	}
	encoded, err := s.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded as\n%x, golden is\n%x", encoded, golden)
	}
	decoded, err := s.Decode(golden)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !reflect.DeepEqual(decoded, s.Value) {
		t.Errorf("golden bytes decoded as\n%+v, want\n%+v", decoded, s.Value)
	}
}

// readFile returns the golden bytes by the name of their sample.
func readFile(t *testing.T) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(File)
	if err != nil {
		t.Fatal(err)
	}
	var texts map[string]string
	if err := json.Unmarshal(content, &texts); err != nil {
		t.Fatal(err)
	}
	out := make(map[string][]byte, len(texts))
	for name, text := range texts {
		if out[name], err = hex.DecodeString(text); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return out
}

// writeFile replaces the golden bytes by those that the samples encode to.
func writeFile(t *testing.T, samples []Sample) {
	t.Helper()
	texts := make(map[string]string, len(samples))
	for _, s := range samples {
		encoded, err := s.Encode()
		if err != nil {
			t.Fatalf("%s: %v", s.Name, err)
		}
		texts[s.Name] = hex.EncodeToString(encoded)
	}
	content, err := json.MarshalIndent(texts, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(File), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(File, append(content, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
