package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sectionPrefix starts a line that names a section of a golden text.
const sectionPrefix = "## "

// CheckText compares a text line by line with the file of that name in the package's testdata
// directory. With update it rewrites that file instead.
func CheckText(t *testing.T, name, text string, update bool) {
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
	if difference := Difference(string(want), text); difference != "" {
		t.Errorf("%s: %s", path, difference)
	}
}

// Difference describes the first line in which two texts differ and the section that contains
// it. It returns an empty string if the texts are equal.
func Difference(want, got string) string {
	if want == got {
		return ""
	}
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	section := ""
	for i := range max(len(wantLines), len(gotLines)) {
		w, g := lineAt(wantLines, i), lineAt(gotLines, i)
		if w == g {
			if name, ok := strings.CutPrefix(w, sectionPrefix); ok {
				section = name
			}
			continue
		}
		return "section " + section + "\ngot  " + g + "\nwant " + w
	}
	return "" // not reached: unequal texts differ in at least one line
}

// lineAt returns a line of a text, or a placeholder beyond the last one.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(end of the text)"
}
