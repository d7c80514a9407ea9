package cmds

import (
	"bytes"
	"encoding/json"

	"mulleingate.dev/base/fault"
)

// strict decodes JSON and refuses unknown keys.
func strict(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return fault.Refuse(fault.BadConfig, "file: "+err.Error())
	}
	return nil
}
