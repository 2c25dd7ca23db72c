package golden

import "testing"

func TestDifferenceReportsSectionAndLine(t *testing.T) {
	const want = "## one\na\n## two\nb\n"
	for got, wantDifference := range map[string]string{
		want:                         "",
		"## one\na\n## two\nc\n":     "section two\ngot  c\nwant b",
		"## one\nb\n## two\nb\n":     "section one\ngot  b\nwant a",
		"## one\na\n## two\nb":       "section two\ngot  (end of the text)\nwant ",
		"## one\na\n## two\nb\n\n":   "section two\ngot  \nwant (end of the text)",
		"## one\na\n## three\nb\n\n": "section one\ngot  ## three\nwant ## two",
	} {
		if difference := Difference(want, got); difference != wantDifference {
			t.Errorf("difference of %q: %q, want %q", got, difference, wantDifference)
		}
	}
}
