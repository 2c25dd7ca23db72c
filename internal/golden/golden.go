// Package golden compares encoded messages with bytes that are kept in a
// file. It is support for tests of formats that must not change.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"
)

// File is where a package keeps its golden bytes, relative to the package.
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
		write(t, samples)
		return
	}
	want := read(t)
	for _, s := range samples {
		t.Run(s.Name, func(t *testing.T) {
			golden, ok := want[s.Name]
			if !ok {
				t.Fatalf("%s holds no golden bytes of it", File)
			}
			check(t, s, golden)
		})
		delete(want, s.Name)
	}
	if len(want) > 0 {
		t.Errorf("%s holds golden bytes without a sample: %v", File, slices.Sorted(maps.Keys(want)))
	}
}

func check(t *testing.T, s Sample, golden []byte) {
	t.Helper()
	for _, fault := range Unfilled(s.Value) {
		t.Errorf("sample: %s", fault)
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

// Unfilled lists the fields of a value that are zero and those that share a
// value with another field, so that a swap of the two would go unseen.
// Booleans need only be true.
func Unfilled(value any) []string {
	w := walker{seen: map[string]string{}}
	w.walk("", reflect.ValueOf(value))
	return w.faults
}

type walker struct {
	seen   map[string]string // path of each value
	faults []string
}

func (w *walker) walk(path string, v reflect.Value) {
	if v.IsZero() {
		w.fault("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		w.walk(path, v.Elem())
	case reflect.Struct:
		w.walkFields(path, v)
	case reflect.Map:
		w.walkMap(path, v)
	case reflect.Slice:
		w.walkSlice(path, v)
	case reflect.Bool:
	default:
		w.distinct(path, v)
	}
}

func (w *walker) walkFields(path string, v reflect.Value) {
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "_" {
			w.walk(path+"."+name, v.Field(i))
		}
	}
}

func (w *walker) walkMap(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.fault("%s is empty", path)
	}
	for _, key := range v.MapKeys() {
		w.walk(path+" key", key)
		w.walk(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
	}
}

func (w *walker) walkSlice(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.fault("%s is empty", path)
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		w.distinct(path, v)
		return
	}
	for i := range v.Len() {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (w *walker) distinct(path string, v reflect.Value) {
	value := fmt.Sprint(v)
	if other, ok := w.seen[value]; ok {
		w.fault("%s has the value of %s: %s", path, other, value)
		return
	}
	w.seen[value] = path
}

func (w *walker) fault(format string, a ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, a...))
}

func read(t *testing.T) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile(File)
	if err != nil {
		t.Fatal(err)
	}
	var texts map[string]string
	if err := json.Unmarshal(raw, &texts); err != nil {
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

func write(t *testing.T, samples []Sample) {
	t.Helper()
	texts := make(map[string]string, len(samples))
	for _, s := range samples {
		encoded, err := s.Encode()
		if err != nil {
			t.Fatalf("%s: %v", s.Name, err)
		}
		texts[s.Name] = hex.EncodeToString(encoded)
	}
	raw, err := json.MarshalIndent(texts, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(File, append(raw, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
