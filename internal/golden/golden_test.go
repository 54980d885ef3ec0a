package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
)

var update = flag.Bool(
	"update",
	false,
	"write the golden files anew: what travels or is stored was changed on purpose",
)

// number is one that a path gives, never 0.
func number(path string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(path)) // never fails
	return uint64(h.Sum32()%999_983) + 1
}

// fill sets all that JSON has of a value to what its names there give.
func fill(v reflect.Value, path string) {
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes([]byte(`{"raw":"` + path + `"}`))
		return
	case []byte:
		v.SetBytes([]byte(path))
		return
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(number(path)), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			switch {
			case name == "-" || !f.IsExported():
			case name == "" && f.Anonymous:
				fill(v.Field(i), path)
			case name == "":
				fill(v.Field(i), path+"."+f.Name)
			default:
				fill(v.Field(i), path+"."+name)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		x := reflect.New(v.Type().Elem()).Elem()
		fill(x, path+".x")
		v.SetMapIndex(reflect.ValueOf(path).Convert(v.Type().Key()), x)
	case reflect.String:
		v.SetString(path)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number(path)))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(number(path))
	case reflect.Float64:
		v.SetFloat(float64(number(path)) + 0.5)
	default:
		panic(path + ": no value for a " + v.Kind().String())
	}
}

func filled[T any](path string) *T {
	v := new(T)
	fill(reflect.ValueOf(v).Elem(), path)
	return v
}

// fillMessage sets all fields of a message to what their names give.
func fillMessage(m protoreflect.Message, path string) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		at := path + "." + string(f.Name())
		one := func(v protoreflect.Value, at string) protoreflect.Value {
			n := number(at)
			switch f.Kind() {
			case protoreflect.MessageKind:
				fillMessage(v.Message(), at)
				return v
			case protoreflect.EnumKind:
				all := f.Enum().Values()
				return protoreflect.ValueOfEnum(all.Get(1 + int(n)%(all.Len()-1)).Number())
			case protoreflect.StringKind:
				return protoreflect.ValueOfString(at)
			case protoreflect.BytesKind:
				return protoreflect.ValueOfBytes([]byte(at))
			case protoreflect.BoolKind:
				return protoreflect.ValueOfBool(true)
			case protoreflect.Uint32Kind:
				return protoreflect.ValueOfUint32(uint32(n))
			case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
				return protoreflect.ValueOfUint64(n)
			case protoreflect.Int64Kind:
				return protoreflect.ValueOfInt64(int64(n))
			case protoreflect.DoubleKind:
				return protoreflect.ValueOfFloat64(float64(n) + 0.5)
			}
			panic(at + ": no value for a " + f.Kind().String())
		}
		if !f.IsList() {
			m.Set(f, one(m.NewField(f), at))
			continue
		}
		list := m.Mutable(f).List()
		for i := range 2 {
			list.Append(one(list.NewElement(), fmt.Sprintf("%s[%d]", at, i)))
		}
	}
}

// same compares what is written now with a golden file, as JSON: the order of fields does not
// count. It returns what the file has.
func same(t *testing.T, file string, got map[string]any) map[string]json.RawMessage {
	t.Helper()
	file = "testdata/" + file + ".json"
	if *update {
		var b bytes.Buffer
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		e.SetIndent("", " ")
		if err := e.Encode(got); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(file)
	want := map[string]json.RawMessage{}
	if err != nil || json.Unmarshal(raw, &want) != nil {
		t.Fatalf("%s: %v", file, err)
	}
	for name := range want {
		if _, ok := got[name]; !ok {
			t.Errorf("%s: %s is written no more", file, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		raw, err := json.Marshal(got[name])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		is, was := leaves(t, raw), leaves(t, want[name])
		for _, k := range slices.Sorted(maps.Keys(was)) {
			if v, ok := is[k]; !ok || v != was[k] {
				t.Errorf("%s: %s%s is %q, was %q", file, name, k, v, was[k])
			}
		}
		for _, k := range slices.Sorted(maps.Keys(is)) {
			if _, ok := was[k]; !ok {
				t.Errorf("%s: %s%s is new: %q", file, name, k, is[k])
			}
		}
	}
	return want
}

// leaves lists all of a JSON text by its paths.
func leaves(t *testing.T, raw []byte) map[string]string {
	t.Helper()
	out := map[string]string{}
	if raw == nil { // not in the file
		return out
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			out[path] = "an object"
			for k, x := range v {
				walk(path+"."+k, x)
			}
		case []any:
			out[path] = fmt.Sprintf("a list of %d", len(v))
			for i, x := range v {
				walk(fmt.Sprintf("%s[%d]", path, i), x)
			}
		case string:
			out[path] = fmt.Sprintf("text %s", v)
		default:
			out[path] = fmt.Sprint(v) // a number, true, false or null
		}
	}
	walk("", tree)
	return out
}

// written is a value with everything in it, and one with nothing: that shows what is left out.
type written struct {
	Filled json.RawMessage `json:"filled"`
	Zero   json.RawMessage `json:"zero"`
}

// checkTypes writes a value of each type, compares it with a golden file, and reads what that has.
func checkTypes(t *testing.T, file string, types map[string]any) {
	t.Helper()
	got, full := map[string]any{}, map[string]any{}
	for name, v := range types {
		zero, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		all := reflect.New(reflect.TypeOf(v).Elem())
		fill(all.Elem(), name)
		raw, err := json.Marshal(all.Interface())
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got[name], full[name] = written{raw, zero}, all.Interface()
	}
	for name, raw := range same(t, file, got) {
		if types[name] == nil {
			continue
		}
		var w written
		var text bytes.Buffer
		if err := json.Unmarshal(raw, &w); err != nil {
			t.Fatal(err)
		}
		if err := json.Compact(&text, w.Filled); err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(types[name]).Elem()).Interface()
		if err := json.Unmarshal(text.Bytes(), read); err != nil || !reflect.DeepEqual(read, full[name]) {
			t.Errorf("%s: %s is read as %+v (%v)", file, name, read, err)
		}
	}
}
