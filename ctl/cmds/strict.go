package cmds

import (
	"bytes"
	"encoding/json"

	"mulleingate.dev/base/fault"
)

// decodeStrict decodes JSON and rejects unknown keys.
func decodeStrict(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return fault.Refuse(fault.BadConfig, "file: "+err.Error())
	}
	return nil
}
