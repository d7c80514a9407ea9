package work

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// Push writes bytes to whoever asked, and sends them at once if flush is not nil. What gone
// says is the fault's detail if they have left.
func Push(w io.Writer, flush *http.ResponseController, data []byte, gone string) error {
	_, err := w.Write(data)
	if err == nil && flush != nil {
		err = flush.Flush()
	}
	if err != nil {
		return fault.Fail(fault.CallerGone, gone).Because(err)
	}
	return nil
}

// copyBuffer is enough for some events, in bytes.
const copyBuffer = 4 << 10

// Copy passes a body on as it comes. A body that breaks off is a fault of the kind; what
// fails at the answer's side is returned as it is.
func Copy(from io.Reader, out Answer, broken fault.Kind) error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if err := out.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fault.Fail(broken, "the answer broke off").Because(err)
		}
	}
}
