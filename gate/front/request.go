package front

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/gate/peer"
)

const bearerPrefix = "Bearer "

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return token
}

// requestID returns the id of a forwarded request, or a new id.
func requestID(r *http.Request, fromPeer bool) string {
	if id := r.Header.Get(peer.RequestHeader); fromPeer && id != "" && len(id) <= ident.MaxLen {
		return id
	}
	return ident.RandomID()
}

// hopCount returns how often the request was forwarded; 0 for a caller's request.
func hopCount(r *http.Request, fromPeer bool) int {
	if !fromPeer {
		return 0
	}
	n, err := strconv.Atoi(r.Header.Get(peer.HopHeader))
	if err != nil {
		return 0
	}
	return n
}

// readBody reads the body within the limits on its size and duration.
func readBody(w http.ResponseWriter, r *http.Request, opts Options) ([]byte, error) {
	limit := opts.MaxBodyBytes
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(opts.BodyTimeout)); err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot set a deadline for reading the body").WithCause(err)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Refuse(fault.TooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		// The deadline is kept, because without one the server would wait for the rest of the body.
		return nil, fault.Refuse(fault.BadRequest, "body could not be read").WithCause(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return raw, nil
}

func (c *call) decode(out any) error {
	if err := json.Unmarshal(c.body, out); err != nil {
		return fault.Refuse(fault.BadJSON, "body is not the expected JSON")
	}
	return nil
}

func (c *call) pathParam(name string) string {
	return pathvar.Vars(c.r)[name]
}

// idempotencyKey returns the caller's idempotency key, or "" if there is none.
func (c *call) idempotencyKey() (string, error) {
	key := c.r.Header.Get("Idempotency-Key")
	if len(key) > ident.MaxLen {
		return "", fault.Refuse(fault.BadRequest, "Idempotency-Key is longer than 128 bytes")
	}
	return key, nil
}
