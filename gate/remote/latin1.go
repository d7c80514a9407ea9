package remote

import (
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"mulleingate.dev/gate/work"
)

// JSON replaces bytes that are not valid UTF-8. Callers may send such bytes, so that texts which contain them travel with
// each of their bytes as the character with that number, as in ISO 8859-1.

// toLatin1 returns the text whose characters are the bytes of the given one.
func toLatin1(text string) string {
	var out strings.Builder
	for _, char := range []byte(text) {
		out.WriteRune(rune(char))
	}
	return out.String()
}

// fromLatin1 reverses toLatin1.
func fromLatin1(text string) string {
	var out strings.Builder
	for _, char := range text {
		out.WriteByte(byte(char))
	}
	return out.String()
}

// mapCall returns a copy of the call with each text that its caller chose replaced by the result of change.
func mapCall(call *work.Call, change func(string) string) *work.Call {
	out := *call
	out.ID, out.Method, out.Host, out.Target = change(call.ID), change(call.Method), change(call.Host), change(call.Target)
	out.Header = mapHeader(call.Header, change)
	if call.Prompt != nil {
		prompt := *call.Prompt
		prompt.Parts = slices.Clone(prompt.Parts)
		for i := range prompt.Parts {
			prompt.Parts[i].ID = change(prompt.Parts[i].ID)
		}
		out.Prompt = &prompt
	}
	if call.Turn != nil {
		turn := *call.Turn
		turn.Program, turn.Previous = change(turn.Program), change(turn.Previous)
		out.Turn = &turn
	}
	return &out
}

// mapHeader returns a copy of the header with each name and value replaced by the result of change.
func mapHeader(header http.Header, change func(string) string) http.Header {
	if header == nil {
		return nil
	}
	out := make(http.Header, len(header))
	for name, values := range header {
		changed := make([]string, 0, len(values))
		for _, value := range values {
			changed = append(changed, change(value))
		}
		out[change(name)] = changed
	}
	return out
}

// encodeCall returns the call as it travels, and whether its texts are encoded by toLatin1.
func encodeCall(call *work.Call) (encoded *work.Call, latin1 bool) {
	if hasUTF8Texts(call) {
		return call, false
	}
	return mapCall(call, toLatin1), true
}

// hasUTF8Texts reports whether all texts of the call that its caller chose are valid UTF-8.
func hasUTF8Texts(call *work.Call) bool {
	valid := utf8.ValidString(call.ID) && utf8.ValidString(call.Method) && utf8.ValidString(call.Host) && utf8.ValidString(call.Target)
	if !valid || !isUTF8Header(call.Header) {
		return false
	}
	if call.Prompt != nil && slices.ContainsFunc(call.Prompt.Parts, func(part work.Part) bool { return !utf8.ValidString(part.ID) }) {
		return false
	}
	return call.Turn == nil || (utf8.ValidString(call.Turn.Program) && utf8.ValidString(call.Turn.Previous))
}

// isUTF8Header reports whether all names and values are valid UTF-8.
func isUTF8Header(header http.Header) bool {
	for name, values := range header {
		if !utf8.ValidString(name) || slices.ContainsFunc(values, func(value string) bool { return !utf8.ValidString(value) }) {
			return false
		}
	}
	return true
}

// encodeHead returns the head as it travels, and whether its header is encoded by toLatin1.
func encodeHead(head work.Head) (encoded work.Head, latin1 bool) {
	if isUTF8Header(head.Header) {
		return head, false
	}
	head.Header = mapHeader(head.Header, toLatin1)
	return head, true
}
