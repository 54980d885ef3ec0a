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
	"rewrite the golden files, after an intended change of what is sent or stored",
)

// number derives a number from a path; it is never 0.
func number(path string) uint64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(path)) // never fails
	return uint64(hash.Sum32()%999_983) + 1
}

// fill sets everything in a value that encoding/json writes, to values derived from the encoded names.
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
		fillFields(v, path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		element := reflect.New(v.Type().Elem()).Elem()
		fill(element, path+".x")
		v.SetMapIndex(reflect.ValueOf(path).Convert(v.Type().Key()), element)
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
		panic(path + ": unsupported kind " + v.Kind().String())
	}
}

// fillFields fills the fields of a struct that encoding/json writes.
func fillFields(v reflect.Value, path string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case name == "-" || !field.IsExported():
		case name == "" && field.Anonymous:
			fill(v.Field(i), path)
		case name == "":
			fill(v.Field(i), path+"."+field.Name)
		default:
			fill(v.Field(i), path+"."+name)
		}
	}
}

// filled returns a new value that is filled.
func filled[T any](path string) *T {
	v := new(T)
	fill(reflect.ValueOf(v).Elem(), path)
	return v
}

// fillMessage sets all fields of a message to values derived from their names.
func fillMessage(message protoreflect.Message, path string) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		fieldPath := path + "." + string(field.Name())
		if !field.IsList() {
			message.Set(field, fieldValue(field, message.NewField(field), fieldPath))
			continue
		}
		list := message.Mutable(field).List()
		for i := range 2 {
			list.Append(fieldValue(field, list.NewElement(), fmt.Sprintf("%s[%d]", fieldPath, i)))
		}
	}
}

// fieldValue returns a value for a field or an element of it; empty is the empty value.
func fieldValue(field protoreflect.FieldDescriptor, empty protoreflect.Value, path string) protoreflect.Value {
	n := number(path)
	switch field.Kind() {
	case protoreflect.MessageKind:
		fillMessage(empty.Message(), path)
		return empty
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(values.Get(1 + int(n)%(values.Len()-1)).Number())
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(path)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(path))
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
	panic(path + ": unsupported kind " + field.Kind().String())
}

// writeGolden rewrites a golden file.
func writeGolden(t *testing.T, file string, got map[string]any) {
	t.Helper()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(got); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkGolden compares the current encodings with a golden file, as JSON, so that the order of fields does not matter.
// It returns the contents of the file.
func checkGolden(t *testing.T, file string, got map[string]any) map[string]json.RawMessage {
	t.Helper()
	file = "testdata/" + file + ".json"
	if *update {
		writeGolden(t, file, got)
	}
	raw, err := os.ReadFile(file)
	want := map[string]json.RawMessage{}
	if err != nil || json.Unmarshal(raw, &want) != nil {
		t.Fatalf("%s: %v", file, err)
	}
	for name := range want {
		if _, ok := got[name]; !ok {
			t.Errorf("%s: %s is no longer encoded", file, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		raw, err := json.Marshal(got[name])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		compareLeaves(t, file+": "+name, leaves(t, raw), leaves(t, want[name]))
	}
	return want
}

// compareLeaves reports every path whose value differs, or that is in only one of the two texts.
func compareLeaves(t *testing.T, what string, got, want map[string]string) {
	t.Helper()
	for _, path := range slices.Sorted(maps.Keys(want)) {
		if value, ok := got[path]; !ok || value != want[path] {
			t.Errorf("%s%s is %q, was %q", what, path, value, want[path])
		}
	}
	for _, path := range slices.Sorted(maps.Keys(got)) {
		if _, ok := want[path]; !ok {
			t.Errorf("%s%s is new: %q", what, path, got[path])
		}
	}
}

// leaves returns all values of a JSON text by their paths.
func leaves(t *testing.T, raw []byte) map[string]string {
	t.Helper()
	out := map[string]string{}
	if raw == nil { // not in the file
		return out
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			out[path] = "an object"
			for key, value := range v {
				walk(path+"."+key, value)
			}
		case []any:
			out[path] = fmt.Sprintf("a list of %d", len(v))
			for i, value := range v {
				walk(fmt.Sprintf("%s[%d]", path, i), value)
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

// encodedForms holds the encoding of a value with all fields set, and that of the zero value, which shows what is
// omitted.
type encodedForms struct {
	Filled json.RawMessage `json:"filled"`
	Zero   json.RawMessage `json:"zero"`
}

// checkTypes encodes a value of each type, compares the result with a golden file, and decodes the encoding in the
// file.
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
		got[name], full[name] = encodedForms{raw, zero}, all.Interface()
	}
	for name, raw := range checkGolden(t, file, got) {
		if types[name] == nil {
			continue
		}
		var w encodedForms
		var text bytes.Buffer
		if err := json.Unmarshal(raw, &w); err != nil {
			t.Fatal(err)
		}
		if err := json.Compact(&text, w.Filled); err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(types[name]).Elem()).Interface()
		if err := json.Unmarshal(text.Bytes(), read); err != nil || !reflect.DeepEqual(read, full[name]) {
			t.Errorf("%s: %s is decoded as %+v (%v)", file, name, read, err)
		}
	}
}
