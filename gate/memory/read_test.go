package memory

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// TestReadAllReturnsAll guards against bytes that are lost or repeated between two pieces, and against a read that is cut off
// and looks complete.
func TestReadAllReturnsAll(t *testing.T) {
	for _, size := range []int{0, 1, minPiece - 1, minPiece, minPiece + 1, 3 * minPiece, maxPiece * 3} {
		want := make([]byte, size)
		for n := range want {
			want[n] = byte(n * 7 >> 3)
		}
		for name, in := range map[string]io.Reader{
			"whole": bytes.NewReader(want), "end with data": iotest.DataErrReader(bytes.NewReader(want)), "halves": iotest.HalfReader(bytes.NewReader(want)),
		} {
			got, err := ReadAll(in)
			if err != nil || !bytes.Equal(want, got) {
				t.Errorf("%d bytes, %s: %d bytes, %v", size, name, len(got), err)
			}
		}
		cut := io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF))
		if got, err := ReadAll(cut); !errors.Is(err, io.ErrUnexpectedEOF) || got != nil {
			t.Errorf("%d bytes, then cut off: %d bytes, %v", size, len(got), err)
		}
	}
}
