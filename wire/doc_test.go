package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The package comment is the only mapping between the protocol's terms and the Go names, so it must
// list every tag that is not the snake case of its Go name.
func TestPackageCommentMapsEveryTag(t *testing.T) {
	files := parsePackage(t)
	want := fieldNamesByTag(t, files)
	maps.DeleteFunc(want, func(tag string, names []string) bool {
		return len(names) == 1 && isSnakeCaseOf(tag, names[0])
	})
	if got := documentedNamesByTag(t, files["doc.go"].Doc.Text()); !reflect.DeepEqual(got, want) {
		t.Errorf("the table of the package comment maps\n%v, want\n%v", got, want)
	}
}

// fieldNamesByTag returns, for each cbor tag, the sorted names of the fields that have it.
func fieldNamesByTag(t *testing.T, files map[string]*ast.File) map[string][]string {
	t.Helper()
	names := map[string][]string{}
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			field, ok := node.(*ast.Field)
			if !ok || field.Tag == nil {
				return true
			}
			text, err := strconv.Unquote(field.Tag.Value)
			if err != nil {
				t.Fatal(err)
			}
			tag, _, _ := strings.Cut(reflect.StructTag(text).Get("cbor"), ",")
			for _, name := range field.Names {
				if !slices.Contains(names[tag], name.Name) {
					names[tag] = append(names[tag], name.Name)
				}
			}
			return true
		})
	}
	for _, list := range names {
		slices.Sort(list)
	}
	return names
}

var tableRow = regexp.MustCompile(`^\t([a-z_]+) +([A-Z]\w*(?:, [A-Z]\w*)*) {2,}\S`)

// documentedNamesByTag parses the first table of the package comment.
func documentedNamesByTag(t *testing.T, comment string) map[string][]string {
	t.Helper()
	rows := map[string][]string{}
	table, _, ok := strings.Cut(comment, "All other tags")
	if !ok {
		t.Fatal("the package comment has no paragraph that ends the table of tags")
	}
	for line := range strings.Lines(table) {
		if row := tableRow.FindStringSubmatch(line); row != nil && row[1] != "protocol" {
			rows[row[1]] = strings.Split(row[2], ", ")
			slices.Sort(rows[row[1]])
		}
	}
	return rows
}

// parsePackage parses the non-test files of the package and returns them by file name.
func parsePackage(t *testing.T) map[string]*ast.File {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]*ast.File{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		if files[path], err = parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// isSnakeCaseOf reports whether tag is name in snake case.
func isSnakeCaseOf(tag, name string) bool {
	return strings.EqualFold(strings.ReplaceAll(tag, "_", ""), name)
}
