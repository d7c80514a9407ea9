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

// maxLine bounds a log line that is read, in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	At    time.Time
	Level string
	// Fields holds all fields of the line; numbers are json.Number.
	Fields map[string]any
}

// Text is the field of the name if it is a text, and empty otherwise.
func (l Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Bool is the field of the name if it is true or false, and false otherwise.
func (l Line) Bool(name string) bool {
	flag, _ := l.Fields[name].(bool)
	return flag
}

// Duration is the field of the name, which counts nanoseconds; zero if it is no number.
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

// ReadFile reads the lines of a file; see Read.
func ReadFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fault.Refuse(fault.BadRequest, "log file cannot be read").WithCause(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return Read(file)
}

// Read reads JSON lines; what stands before the first brace, such as a collector's own time, is
// passed over, and so are lines without one.
func Read(in io.Reader) ([]Line, error) {
	var read []Line
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		_, raw, ok := strings.Cut(scan.Text(), "{")
		if !ok {
			continue
		}
		l := Line{}
		decoder := json.NewDecoder(strings.NewReader("{" + raw))
		decoder.UseNumber()
		if decoder.Decode(&l.Fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
		if err != nil {
			continue
		}
		l.At, l.Level = at, l.Text("level")
		read = append(read, l)
	}
	if err := scan.Err(); err != nil {
		return nil, fault.Refuse(fault.BadRequest, "log cannot be read").WithCause(err)
	}
	return read, nil
}
