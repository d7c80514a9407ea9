package parts_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/sample"
)

// TestSlowCallersAreDisconnected sends a header and a body that never end. The box must answer
// with an error or close the connection, and must still serve other callers.
func TestSlowCallersAreDisconnected(t *testing.T) {
	p := startPair(t, nil)
	addr := p.settings[0].Listen.Callers.String()
	head := "POST /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + sample.Token("flanders") + "\r\n"
	for name, text := range map[string]string{
		"header": head,
		"body":   head + "Content-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Fatal("the box neither answered nor closed the connection")
			}
			if err == nil && resp.StatusCode < http.StatusBadRequest {
				t.Errorf("unfinished request got status %d, want an error", resp.StatusCode)
			}
		})
	}
	p.createProgram(programBody)
}
