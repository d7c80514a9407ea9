package turns

import "bytes"

// maxLine bounds a line of an event that is kept, in bytes.
const maxLine = 1 << 20

// events collects the data of a series of events while its bytes pass by.
type events struct {
	// text is the data of each event with a line feed behind.
	text []byte
	// count is the number of events with data.
	count int
	// line is the beginning of a line whose end has not come.
	line []byte
	// data is that of the event under way; some tells that it has a data line.
	data []byte
	some bool
	// id is that of the event under way, last that of the newest event with data.
	id, last string
}

// begun is the number of events of which something has passed by.
func (e *events) begun() int {
	if e.some || len(e.line) > 0 {
		return e.count + 1
	}
	return e.count
}

func (e *events) write(raw []byte) {
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			if len(e.line)+len(raw) <= maxLine {
				e.line = append(e.line, raw...)
			}
			return
		}
		line := raw[:end]
		if len(e.line) > 0 {
			line = append(e.line, line...)
			e.line = e.line[:0]
		}
		e.take(bytes.TrimSuffix(line, []byte("\r")))
		raw = raw[end+1:]
	}
}

func (e *events) take(line []byte) {
	if len(line) == 0 {
		e.dispatch()
		return
	}
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.id = string(bytes.TrimSpace(id))
		return
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	if e.some {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, bytes.TrimPrefix(data, []byte(" "))...)
	e.some = true
}

func (e *events) dispatch() {
	if !e.some {
		return
	}
	e.text = append(e.text, e.data...)
	e.text = append(e.text, '\n')
	e.count++
	e.last = e.id
	e.data = e.data[:0]
	e.some = false
}
