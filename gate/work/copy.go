package work

import (
	"io"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

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
