package cmds

import (
	"encoding/json"
	"os"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// scope is the part of a configuration that a group of commands works on.
type scope struct {
	group string
	// pick takes the part out of a configuration, put reads a file's part into one.
	pick func(cfg types.Config) any
	put  func(cfg *types.Config, raw []byte) error
}

// scopes are the whole configuration and the policy alone.
func scopes() []scope {
	return []scope{
		{
			group: groupConfig,
			pick:  func(cfg types.Config) any { return cfg },
			put:   func(cfg *types.Config, raw []byte) error { return strict(raw, cfg) },
		},
		{
			group: groupPolicy,
			pick:  func(cfg types.Config) any { return cfg.Policy },
			put: func(cfg *types.Config, raw []byte) error {
				cfg.Policy = types.Policy{}
				return strict(raw, &cfg.Policy)
			},
		},
	}
}

// read puts a file's part into a copy of the configuration in force.
func (s scope) read(path string, base types.Config) (types.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return base, fault.Refuse(fault.BadRequest, "file cannot be read").WithCause(err)
	}
	cfg := base
	if s.group == groupConfig {
		cfg = types.Config{}
	}
	if err := s.put(&cfg, raw); err != nil {
		return base, err
	}
	// Keys are made by mgctl keys; a file that leaves them out keeps those in force.
	if len(cfg.Keys) == 0 {
		cfg.Keys = base.Keys
	}
	return cfg, nil
}

func text(v any) string {
	raw, _ := json.MarshalIndent(v, "", "  ")
	return string(raw)
}
