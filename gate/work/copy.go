package work

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// WriteToCaller writes data to the client and sends it at once, also after a failed write: an answer that breaks off must
// not take what was written before with it. An error is returned as a CallerGone fault with the given detail.
func WriteToCaller(w http.ResponseWriter, data []byte, detail string) error {
	_, err := w.Write(data)
	if err = errors.CombineErrors(err, http.NewResponseController(w).Flush()); err != nil {
		return fault.Fail(fault.CallerGone, detail).WithCause(err)
	}
	return nil
}

// copyBufferSize is the size in bytes of the buffer of CopyBody, which fits several events.
const copyBufferSize = 4 << 10

// CopyBody forwards a body as it arrives. A read error is returned as a fault of kind readFault, a write
// error unchanged.
func CopyBody(from io.Reader, out Answer, readFault fault.Kind) error {
	buf := make([]byte, copyBufferSize)
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
			return fault.Fail(readFault, "the answer broke off").WithCause(err)
		}
	}
}
