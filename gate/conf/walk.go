package conf

import (
	"encoding/json"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// walk copies doc into the struct that out points to. Unlike json.Unmarshal it goes on
// after a fault, and reports keys that no field has.
func walk(rep *report, doc any, out any) {
	object(rep, "", doc, reflect.ValueOf(out).Elem())
}

func value(rep *report, path string, doc any, out reflect.Value) {
	if isLeaf(out) {
		leaf(rep, path, doc, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		object(rep, path, doc, out)
	case reflect.Slice:
		list(rep, path, doc, out)
	default:
		leaf(rep, path, doc, out)
	}
}

// isLeaf reports whether the type reads itself from JSON or text.
func isLeaf(out reflect.Value) bool {
	switch out.Addr().Interface().(type) {
	case json.Unmarshaler, interface{ UnmarshalText([]byte) error }:
		return true
	}
	return out.Kind() == reflect.Slice && out.Type().Elem().Kind() == reflect.Uint8
}

func object(rep *report, path string, doc any, out reflect.Value) {
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
			rep.add(join(path, name), "unknown key")
			continue
		}
		value(rep, join(path, name), keys[name], field)
	}
}

func list(rep *report, path string, doc any, out reflect.Value) {
	items, ok := doc.([]any)
	if !ok {
		rep.add(path, "not a list")
		return
	}
	made := reflect.MakeSlice(out.Type(), len(items), len(items))
	for i, item := range items {
		value(rep, path+"["+strconv.Itoa(i)+"]", item, made.Index(i))
	}
	out.Set(made)
}

func leaf(rep *report, path string, doc any, out reflect.Value) {
	raw, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(raw, out.Addr().Interface())
	}
	if err != nil {
		rep.add(path, "not a "+kind(out))
	}
}

func kind(out reflect.Value) string {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
