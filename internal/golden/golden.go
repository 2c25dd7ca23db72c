// Package golden checks that the encoding of messages and records does not change: it compares
// the encoding of samples with golden bytes in a file. It is for tests only. The packages under
// test define the samples, and so which formats are checked.
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

// File is the path of a package's golden bytes, relative to the package. The file is a JSON
// object that maps the name of each sample to a hexadecimal string.
const File = "testdata/golden.json"

// Sample is a value of one format, with every field set.
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

// Check checks that every sample encodes to its golden bytes and that these decode to the
// sample. With update it rewrites the file instead.
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
				t.Fatalf("%s has no golden bytes for this sample", File)
			}
			checkSample(t, s, golden)
		})
		delete(want, s.Name)
	}
	if len(want) > 0 {
		t.Errorf("%s has golden bytes without a sample: %v", File, slices.Sorted(maps.Keys(want)))
	}
}

// checkSample checks one sample in both directions. It also checks that the sample sets every
// field, because a zero field would hide a change of its encoding.
func checkSample(t *testing.T, s Sample, golden []byte) {
	t.Helper()
	for _, problem := range FieldProblems(s.Value) {
		t.Errorf("sample: %s", problem)
	}
	encoded, err := s.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded as\n%x, want\n%x", encoded, golden)
	}
	decoded, err := s.Decode(golden)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !reflect.DeepEqual(decoded, s.Value) {
		t.Errorf("golden bytes decoded as\n%+v, want\n%+v", decoded, s.Value)
	}
}

// readFile returns the golden bytes by sample name.
func readFile(t *testing.T) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(File)
	if err != nil {
		t.Fatal(err)
	}
	var hexByName map[string]string
	if err := json.Unmarshal(content, &hexByName); err != nil {
		t.Fatal(err)
	}
	out := make(map[string][]byte, len(hexByName))
	for name, encoded := range hexByName {
		if out[name], err = hex.DecodeString(encoded); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return out
}

// writeFile replaces the golden bytes with the encodings of the samples.
func writeFile(t *testing.T, samples []Sample) {
	t.Helper()
	hexByName := make(map[string]string, len(samples))
	for _, s := range samples {
		encoded, err := s.Encode()
		if err != nil {
			t.Fatalf("%s: %v", s.Name, err)
		}
		hexByName[s.Name] = hex.EncodeToString(encoded)
	}
	content, err := json.MarshalIndent(hexByName, "", "  ")
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
