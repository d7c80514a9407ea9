package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
)

// TestBodyIsReadWhole checks that bodies of all sizes around a piece arrive unchanged, with and without a known length
// and in reads of any size, and that their memory is released.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, pieceBytes - 1, pieceBytes, pieceBytes + 1, 3*pieceBytes - 1, 3 * pieceBytes, 3*pieceBytes + 5} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i % 251)
		}
		budget := New(4 * pieceBytes)
		for name, from := range map[string]io.Reader{
			"whole": bytes.NewReader(want), "half": iotest.HalfReader(bytes.NewReader(want)), "end with data": iotest.DataErrReader(bytes.NewReader(want)),
		} {
			length := int64(size)
			if name == "half" {
				length = -1
			}
			body, err := budget.ReadBody(from, length)
			if err != nil {
				t.Fatalf("%d bytes, %s: %v", size, name, err)
			}
			if !bytes.Equal(want, body.Data) {
				t.Errorf("%d bytes, %s: the body has changed, %d bytes", size, name, len(body.Data))
			}
			if used := budget.Used(); used < int64(size)-pieceBytes || used > int64(size) {
				t.Errorf("%d bytes, %s: %d are reserved", size, name, used)
			}
			body.Release()
		}
		if diff := cmp.Diff(int64(0), budget.Used()); diff != "" {
			t.Errorf("%d bytes: reserved after the release (-want +got):\n%s", size, diff)
		}
	}
}

// TestBodyBeyondTheBudget checks that a body for which there is no room is refused as not run, that it keeps nothing
// reserved, and that usual bodies are still read.
func TestBodyBeyondTheBudget(t *testing.T) {
	budget := New(2 * pieceBytes)
	large := strings.Repeat("x", 4*pieceBytes)
	_, err := budget.ReadBody(strings.NewReader(large), int64(len(large)))
	if !fault.Is(err, fault.Overloaded) || !fault.From(err).NotRun || fault.From(err).RetryAfter == 0 {
		t.Errorf("a body beyond the budget: %v", err)
	}
	if !budget.Reserve(budget.Limit()) {
		t.Errorf("%d bytes are reserved after the refusal", budget.Used())
	}
	if body, err := budget.ReadBody(strings.NewReader(large[:pieceBytes/2]), -1); err != nil || len(body.Data) != pieceBytes/2 {
		t.Errorf("a usual body beside large ones: %v", err)
	}
}

// TestBodyThatBreaksOff checks that the error of a body that is not complete is returned and that its memory is
// released.
func TestBodyThatBreaksOff(t *testing.T) {
	for _, length := range []int64{-1, 10, 5 * pieceBytes} {
		budget := New(10 * pieceBytes)
		from := io.MultiReader(strings.NewReader(strings.Repeat("x", int(max(length, 3*pieceBytes)-1))), iotest.ErrReader(io.ErrUnexpectedEOF))
		if length == 10 {
			from = io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		_, err := budget.ReadBody(from, length)
		if diff := cmp.Diff([]any{io.ErrUnexpectedEOF.Error(), int64(0)}, []any{err.Error(), budget.Used()}); diff != "" {
			t.Errorf("length %d: error, reserved bytes (-want +got):\n%s", length, diff)
		}
	}
}
