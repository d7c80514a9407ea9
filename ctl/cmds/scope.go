package cmds

import (
	"encoding/json"
	"os"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// scope is the part of the configuration that a command group edits.
type scope struct {
	group string
	// extract returns the part of a configuration; decode sets the part from a file's content.
	extract func(cfg types.Config) any
	decode  func(cfg *types.Config, raw []byte) error
}

// scopes returns the scopes of the config and policy groups: everything, and the policy only.
func scopes() []scope {
	return []scope{
		{
			group:   groupConfig,
			extract: func(cfg types.Config) any { return cfg },
			decode:  func(cfg *types.Config, raw []byte) error { return decodeStrict(raw, cfg) },
		},
		{
			group:   groupPolicy,
			extract: func(cfg types.Config) any { return cfg.Policy },
			decode: func(cfg *types.Config, raw []byte) error {
				cfg.Policy = types.Policy{}
				return decodeStrict(raw, &cfg.Policy)
			},
		},
	}
}

// applyFile returns a copy of base with its part replaced by the content of a file.
func (s scope) applyFile(path string, base types.Config) (types.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return base, fault.Refuse(fault.BadRequest, "cannot read file").WithCause(err)
	}
	cfg := base
	if s.group == groupConfig {
		cfg = types.Config{}
	}
	if err := s.decode(&cfg, raw); err != nil {
		return base, err
	}
	// Data keys are created by "mgctl keys"; a file without any keeps those in force.
	if len(cfg.Keys) == 0 {
		cfg.Keys = base.Keys
	}
	return cfg, nil
}

func indentedJSON(v any) string {
	raw, _ := json.MarshalIndent(v, "", "  ")
	return string(raw)
}
