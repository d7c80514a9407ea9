package conf

import (
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// decode copies doc, which json.Unmarshal decoded into an any, into the struct that out points
// to. It adds every unknown key and every value of the wrong type to rep, whereas
// json.Unmarshal ignores unknown keys and reports only the first error.
func decode(rep *report, doc any, out any) {
	decodeObject(rep, "", doc, reflect.ValueOf(out).Elem())
}

// decodeValue decodes doc into out according to out's type.
func decodeValue(rep *report, path string, doc any, out reflect.Value) {
	if decodesItself(out) {
		decodeLeaf(rep, path, doc, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		decodeObject(rep, path, doc, out)
	case reflect.Slice:
		decodeList(rep, path, doc, out)
	default:
		decodeLeaf(rep, path, doc, out)
	}
}

// decodesItself reports whether out has its own decoder from JSON or text, or is a byte slice,
// which is base64 text in JSON.
func decodesItself(out reflect.Value) bool {
	switch out.Addr().Interface().(type) {
	case json.Unmarshaler, interface{ UnmarshalText([]byte) error }:
		return true
	}
	return out.Kind() == reflect.Slice && out.Type().Elem().Kind() == reflect.Uint8
}

// decodeObject decodes a JSON object into a struct whose fields all have json tags. It goes
// through the keys in sorted order, so that reports are stable.
func decodeObject(rep *report, path string, doc any, out reflect.Value) {
	keys, ok := doc.(map[string]any)
	if !ok {
		rep.add(path, "not an object")
		return
	}
	fields := map[string]reflect.Value{}
	for i := range out.NumField() {
		name, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = out.Field(i)
	}
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		field, known := fields[name]
		if !known {
			rep.add(joinPath(path, name), "unknown key")
			continue
		}
		decodeValue(rep, joinPath(path, name), keys[name], field)
	}
}

func decodeList(rep *report, path string, doc any, out reflect.Value) {
	items, ok := doc.([]any)
	if !ok {
		rep.add(path, "not a list")
		return
	}
	decoded := reflect.MakeSlice(out.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(rep, path+"["+strconv.Itoa(i)+"]", item, decoded.Index(i))
	}
	out.Set(decoded)
}

func decodeLeaf(rep *report, path string, doc any, out reflect.Value) {
	raw, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(raw, out.Addr().Interface())
	}
	if err != nil {
		rep.add(path, "not a "+expectedForm(out))
	}
}

// expectedForm describes the values that out accepts, for the report to the operator.
func expectedForm(out reflect.Value) string {
	switch out.Type().String() {
	case "netip.AddrPort":
		return "numeric address with a port, such as 10.0.0.1:8080"
	case "types.Duration":
		return "duration, such as 300ms"
	case "[]uint8":
		return "base64 text"
	}
	return out.Kind().String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
