package golden

import (
	"fmt"
	"reflect"
)

// FieldProblems lists the fields of a value that are zero, and those that have the same value as
// another field: a swap of the two would go undetected. Booleans need only be true.
func FieldProblems(value any) []string {
	w := fieldWalker{pathByValue: map[string]string{}}
	w.walk("", reflect.ValueOf(value))
	return w.problems
}

// fieldWalker visits all fields below a value.
type fieldWalker struct {
	pathByValue map[string]string // path of each value visited so far, by the value's printed form
	problems    []string
}

func (w *fieldWalker) walk(path string, v reflect.Value) {
	if v.IsZero() {
		w.addProblem("%s is zero", path)
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
	case reflect.Bool: // true, since false is zero
	default:
		w.checkDistinct(path, v)
	}
}

func (w *fieldWalker) walkFields(path string, v reflect.Value) {
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "_" {
			w.walk(path+"."+name, v.Field(i))
		}
	}
}

func (w *fieldWalker) walkMap(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.addProblem("%s is empty", path)
	}
	for _, key := range v.MapKeys() {
		w.walk(path+" key", key)
		w.walk(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
	}
}

func (w *fieldWalker) walkSlice(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.addProblem("%s is empty", path)
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		w.checkDistinct(path, v)
		return
	}
	for i := range v.Len() {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

// checkDistinct reports a value whose printed form equals that of an earlier value, also if
// their types differ.
func (w *fieldWalker) checkDistinct(path string, v reflect.Value) {
	value := fmt.Sprint(v)
	if other, ok := w.pathByValue[value]; ok {
		w.addProblem("%s has the same value as %s: %s", path, other, value)
		return
	}
	w.pathByValue[value] = path
}

func (w *fieldWalker) addProblem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}
