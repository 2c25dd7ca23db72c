package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// heading starts the line that names a section of a golden text.
const heading = "## "

// Text compares a text with the one that the package keeps in testdata under a
// name, line by line. With update it rewrites that file instead.
func Text(t *testing.T, name, text string, update bool) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if fault := Difference(string(want), text); fault != "" {
		t.Errorf("%s: %s", path, fault)
	}
}

// Difference describes the first line in which a text differs from the golden
// one, and the section that holds it; empty if there is none.
func Difference(want, got string) string {
	if want == got {
		return ""
	}
	wanted, lines := strings.Split(want, "\n"), strings.Split(got, "\n")
	section := ""
	for i := range max(len(wanted), len(lines)) {
		w, g := line(wanted, i), line(lines, i)
		if w == g {
			if name, ok := strings.CutPrefix(w, heading); ok {
				section = name
			}
			continue
		}
		return "section " + section + "\ngot  " + g + "\nwant " + w
	}
	return "" // not reached: texts that differ, differ in a line
}

// line is a line of a text, or says that the text has ended.
func line(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end of the text)"
}
