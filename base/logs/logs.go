package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is a parsed log line.
type Line struct {
	At    time.Time
	Level string
	// Fields holds all fields of the line, also time and level; numbers are json.Number.
	Fields map[string]any
}

// Text returns the named field if it is a string, otherwise "".
func (l Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Bool returns the named field if it is a boolean, otherwise false.
func (l Line) Bool(name string) bool {
	flag, _ := l.Fields[name].(bool)
	return flag
}

// Duration returns the named field, a whole number of nanoseconds; 0 if it is anything else.
func (l Line) Duration(name string) time.Duration {
	number, ok := l.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	n, err := number.Int64()
	if err != nil {
		return 0
	}
	return time.Duration(n)
}

// ReadFile parses the lines of a file like Read.
func ReadFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fault.Refuse(fault.BadRequest, "cannot open log file").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// Read parses log lines in JSON. It ignores text before the first brace, such as a timestamp that a
// log collector added, and skips lines without a JSON object or a valid time.
func Read(in io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		_, object, ok := strings.Cut(scan.Text(), "{")
		if !ok {
			continue
		}
		l := Line{}
		decoder := json.NewDecoder(strings.NewReader("{" + object))
		decoder.UseNumber()
		if decoder.Decode(&l.Fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
		if err != nil {
			continue
		}
		l.At, l.Level = at, l.Text("level")
		lines = append(lines, l)
	}
	if err := scan.Err(); err != nil {
		return nil, fault.Refuse(fault.BadRequest, "cannot read log").WithCause(err)
	}
	return lines, nil
}
