package chain

import (
	"encoding/binary"
	"testing"
	"time"

	"mulleingate.dev/gate/work"
)

// FuzzApply guards against records of the log that make a state panic, or that hide the turns beside them.
func FuzzApply(f *testing.F) {
	largest := binary.AppendUvarint(nil, 1<<64-1)
	sound := turnRecord(&Turn{id: "1", program: "p", expires: time.UnixMilli(1 << 41), tokens: 3, Text: []byte("text")})
	for _, key := range []string{"t1", "tx", "cp\x001", "c\x00", "s1", "gp", "p", "", "\xff", "t", "x1"} {
		f.Add(key, sound.Value)
		f.Add(key, sound.Value[:len(sound.Value)/2])
		f.Add(key, largest)
		f.Add(key, append([]byte{1, 'p', 0}, append(largest, largest...)...))
		f.Add(key, []byte{})
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if key == "t1" || key == "t2" {
			return // a later record of the same turn replaces it
		}
		s := New()
		kept := turnRecord(&Turn{id: "2", program: "q", expires: time.UnixMilli(1 << 41), tokens: 3, Text: []byte("kept")})
		before := s.Apply(kept)
		_ = s.Apply(work.Record{Key: key, Value: value})       // the record may be malformed
		_ = s.Apply(work.Record{Key: key, Value: value})       // or come again
		_ = s.Apply(work.Record{Key: key, Value: []byte(nil)}) // and end
		_ = s.Apply(work.Record{Key: key, Value: value[:len(value)/2]})
		if before != nil {
			t.Fatal(before)
		}
		s.Expire(time.UnixMilli(1), 100)
		if text, ok := s.ChainText("2"); !ok || string(text) != "kept" {
			t.Errorf("%q %x hides a turn: %q, %v", key, value, text, ok)
		}
	})
}
