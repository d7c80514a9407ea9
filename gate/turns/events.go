package turns

import "bytes"

const (
	// maxLine bounds a buffered line of events that are not kept, in bytes, and the buffers that are used again.
	maxLine = 4 << 10
	// maxID bounds the ID of an event, in bytes. A longer one is ignored, so that it is not sent to another replica.
	maxID = 1 << 10
)

// events parses a stream of server-sent events and collects their data.
type events struct {
	// text is the data of all events, each followed by a line feed. It is empty if discard is set.
	text    []byte
	discard bool
	// count is the number of events with data.
	count int
	// line buffers a line whose end has not arrived.
	line []byte
	// data belongs to the current event; hasData is set once that event has a data line.
	data    []byte
	hasData bool
	// id is the latest ID seen, lastID that of the last complete event with data.
	id, lastID string
}

// started returns the number of events that have started, complete or not.
func (e *events) started() int {
	if e.hasData || len(e.line) > 0 {
		return e.count + 1
	}
	return e.count
}

// size returns the number of bytes that are kept.
func (e *events) size() int {
	return len(e.text) + len(e.data) + len(e.line)
}

// memory returns the size of the buffers in bytes.
func (e *events) memory() int {
	return cap(e.text) + cap(e.data) + cap(e.line)
}

// emptied returns the buffer for further use, without its content.
func emptied(buf []byte) []byte {
	if cap(buf) > maxLine {
		return nil
	}
	return buf[:0]
}

// write parses the next bytes of the stream.
func (e *events) write(raw []byte) {
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			if e.discard {
				raw = raw[:min(len(raw), max(0, maxLine-len(e.line)))]
			}
			e.line = append(e.line, raw...)
			return
		}
		line := raw[:end]
		if len(e.line) > 0 {
			line = append(e.line, line...)
		}
		e.parseLine(bytes.TrimSuffix(line, []byte("\r")))
		e.line = emptied(e.line)
		raw = raw[end+1:]
	}
}

// parseLine handles one line without its line ending.
func (e *events) parseLine(line []byte) {
	if len(line) == 0 {
		e.dispatch()
		return
	}
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.setID(bytes.TrimSpace(id))
		return
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	if e.hasData && !e.discard {
		e.data = append(e.data, '\n')
	}
	if !e.discard {
		e.data = append(e.data, bytes.TrimPrefix(data, []byte(" "))...)
	}
	e.hasData = true
}

func (e *events) setID(id []byte) {
	if len(id) > maxID {
		id = nil
	}
	e.id = string(id)
}

// dispatch completes the current event at an empty line.
func (e *events) dispatch() {
	if !e.hasData {
		return
	}
	if !e.discard {
		e.text = append(e.text, e.data...)
		e.text = append(e.text, '\n')
	}
	e.count++
	e.lastID = e.id
	e.data = emptied(e.data)
	e.hasData = false
}
