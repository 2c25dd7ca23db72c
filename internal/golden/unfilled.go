package golden

import (
	"fmt"
	"reflect"
)

// Unfilled lists the fields of a value that are zero and those that share a
// value with another field, so that a swap of the two would go unseen.
// Booleans need only be true.
func Unfilled(value any) []string {
	w := fieldWalker{pathByValue: map[string]string{}}
	w.walk("", reflect.ValueOf(value))
	return w.problems
}

// fieldWalker visits all fields below a value.
type fieldWalker struct {
	pathByValue map[string]string // of the values seen so far, in their printed form
	problems    []string
}

func (w *fieldWalker) walk(path string, v reflect.Value) {
	if v.IsZero() {
		w.problem("%s is zero", path)
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
	case reflect.Bool: // true, or it would be zero
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
		w.problem("%s is empty", path)
	}
	for _, key := range v.MapKeys() {
		w.walk(path+" key", key)
		w.walk(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
	}
}

func (w *fieldWalker) walkSlice(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.problem("%s is empty", path)
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		w.checkDistinct(path, v)
		return
	}
	for i := range v.Len() {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

// checkDistinct compares a value with all before it in their printed form, so that
// also values of different types may not look alike.
func (w *fieldWalker) checkDistinct(path string, v reflect.Value) {
	value := fmt.Sprint(v)
	if other, ok := w.pathByValue[value]; ok {
		w.problem("%s has the value of %s: %s", path, other, value)
		return
	}
	w.pathByValue[value] = path
}

func (w *fieldWalker) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}
