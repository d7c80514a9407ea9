package conf

import (
	"net/netip"
	"time"

	"mulleingate.dev/base/types"
)

// Platform says where the platform's services are.
type Platform struct {
	Log  netip.AddrPort `json:"log"`
	List netip.AddrPort `json:"list"`
	// LogTimeout bounds each call to the log.
	LogTimeout types.Duration `json:"log_timeout"`
	// AppendLimit is the log's limit in appends a second, shared by Boxes boxes; 0 is without.
	AppendLimit float64 `json:"append_limit"`
	Boxes       int     `json:"boxes"`
	// Retention is how long the log keeps entries; 0 is for ever.
	Retention types.Duration `json:"retention"`
	// ConfigPoll is how often the configuration stream is read.
	ConfigPoll types.Duration `json:"config_poll"`
}

func platformDefaults() Platform {
	return Platform{
		LogTimeout: types.Duration(2 * time.Second), Boxes: 1, ConfigPoll: types.Duration(time.Second),
	}
}

func (p Platform) check(rep *report) {
	rep.need(p.Log.IsValid(), "platform.log", "missing")
	rep.need(p.List.IsValid(), "platform.list", "missing")
	rep.need(p.LogTimeout > 0, "platform.log_timeout", "not positive")
	rep.need(p.AppendLimit >= 0, "platform.append_limit", "negative")
	rep.need(p.Boxes > 0, "platform.boxes", "not positive")
	rep.need(p.Retention >= 0, "platform.retention", "negative")
	rep.need(p.ConfigPoll > 0, "platform.config_poll", "not positive")
}

// AppendShare is this box's share of the append limit.
func (p Platform) AppendShare() float64 {
	return p.AppendLimit / float64(p.Boxes)
}
