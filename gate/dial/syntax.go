package dial

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mulleingate.dev/base/fault"
)

const (
	// http10 and http11 are the versions that responses can have, and versionLength is their length.
	http10, http11 = "HTTP/1.0", "HTTP/1.1"
	versionLength  = len(http11)
	// statusEnd is the length of a status line up to the end of its status.
	statusEnd = versionLength + len(" 200")
	// maxQuotedBytes bounds what an error quotes of a malformed line.
	maxQuotedBytes = 64
	// lowestStatus and highestStatus bound the statuses that RFC 9110 defines.
	lowestStatus, highestStatus = 100, 599
)

// headSyntax checks the syntax of a head while it is read. Package net/http passes over what it does not know, such as a blank
// before the colon, and with it a length that others see.
type headSyntax struct {
	// line holds the line that has arrived in part.
	line []byte
	// begun is set after the status line, ended after the empty line, old if the version is HTTP/1.0, and folded after a line
	// that continues the one before, which is obsolete: its meaning is known only once the head has ended.
	begun, ended, old, folded bool
	// length and encoding are set after a field with the length of the body and one with its encoding.
	length, encoding bool
	err              error
}

// check checks the next bytes that arrive. Those after the head are ignored.
func (s *headSyntax) check(data []byte) error {
	for len(data) > 0 && !s.ended && s.err == nil {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.line = append(s.line, data...)
			break
		}
		s.line = append(s.line, data[:end]...)
		s.checkLine(string(bytes.TrimSuffix(s.line, []byte("\r"))))
		s.line, data = s.line[:0], data[end+1:]
	}
	return s.err
}

func (s *headSyntax) checkLine(line string) {
	switch {
	case !s.begun:
		s.begun, s.old = true, len(line) >= versionLength && line[:versionLength] == http10
		s.err = checkStatusLine(line)
	case line == "":
		s.ended = true
	case line[0] == ' ' || line[0] == '\t':
		s.folded = true
	default:
		s.err = s.checkField(line)
	}
}

// result returns why the head that was read is malformed, if it is.
func (s *headSyntax) result() error {
	if s.err == nil && s.folded {
		return malformedHead("line", "continued")
	}
	return s.err
}

// checkStatusLine checks the first line of a response.
func checkStatusLine(line string) error {
	if len(line) < statusEnd || (line[:versionLength] != http10 && line[:versionLength] != http11) || line[versionLength] != ' ' {
		return malformedHead("status line", line)
	}
	text := line[versionLength+1 : statusEnd]
	status, err := strconv.Atoi(text)
	if err != nil || strconv.Itoa(status) != text || status < lowestStatus || status > highestStatus || status == http.StatusSwitchingProtocols {
		return malformedHead("status", line)
	}
	if reason := line[statusEnd:]; reason != "" && (reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason)) {
		return malformedHead("reason", line)
	}
	return nil
}

// checkField checks a line with a field.
func (s *headSyntax) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return malformedHead("field", line)
	}
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		s.length = true
	case "Transfer-Encoding":
		s.encoding = true
	}
	if s.encoding && (s.old || s.length) {
		return malformedHead("framing", line)
	}
	return nil
}

// checkTrailer checks the fields after the last chunk of a body.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return malformedHead("trailer", name)
			}
		}
	}
	return nil
}

func malformedHead(what, text string) error {
	text = text[:min(len(text), maxQuotedBytes)]
	return fault.Fail(fault.TargetFailed, "malformed "+what+" of a response: "+strconv.Quote(text))
}
