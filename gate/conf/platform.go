package conf

import (
	"net/netip"
	"time"

	"mulleingate.dev/base/types"
)

// Platform holds the addresses and limits of the platform's services.
type Platform struct {
	// Log is the address of the log service, List that of the list of boxes.
	Log  netip.AddrPort `json:"log"`
	List netip.AddrPort `json:"list"`
	// LogTimeout bounds each call to the log.
	LogTimeout types.Duration `json:"log_timeout"`
	// AppendLimit is the log's limit in appends per second, which is divided equally among
	// Boxes boxes; 0 means no limit.
	AppendLimit float64 `json:"append_limit"`
	Boxes       int     `json:"boxes"`
	// Retention is how long the log keeps entries; 0 means forever.
	Retention types.Duration `json:"retention"`
	// ConfigPollInterval is the interval between reads of the configuration stream.
	ConfigPollInterval types.Duration `json:"config_poll"`
}

func platformDefaults() Platform {
	return Platform{
		LogTimeout: types.Duration(2 * time.Second), Boxes: 1, ConfigPollInterval: types.Duration(time.Second),
	}
}

func (p Platform) check(rep *report) {
	rep.require(p.Log.IsValid(), "platform.log", "missing")
	rep.require(p.List.IsValid(), "platform.list", "missing")
	rep.require(p.LogTimeout > 0, "platform.log_timeout", "not positive")
	rep.require(p.AppendLimit >= 0, "platform.append_limit", "negative")
	rep.require(p.Boxes > 0, "platform.boxes", "not positive")
	rep.require(p.Retention >= 0, "platform.retention", "negative")
	rep.require(p.ConfigPollInterval > 0, "platform.config_poll", "not positive")
}

// AppendShare returns this box's share of AppendLimit in appends per second; 0 means no limit.
func (p Platform) AppendShare() float64 {
	return p.AppendLimit / float64(p.Boxes)
}
