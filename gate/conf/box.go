package conf

import (
	"log/slog"
	"net/netip"
	"regexp"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Box identifies this box.
type Box struct {
	Name string `json:"name"`
	// Zone is the availability zone that the box is in.
	Zone string `json:"zone"`
}

func (b Box) check(rep *report) {
	rep.require(namePattern.MatchString(b.Name), "box.name", "missing, or does not match [a-z0-9][a-z0-9-]{0,62}")
	rep.require(namePattern.MatchString(b.Zone), "box.zone", "missing, or does not match [a-z0-9][a-z0-9-]{0,62}")
}

// Listen holds the addresses that the box listens on.
type Listen struct {
	// Callers receives calls through the platform's load balancer, Peers requests of other
	// boxes, and Admin requests of operators.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
}

func (l Listen) check(rep *report) {
	rep.require(l.Callers.IsValid(), "listen.callers", "missing")
	rep.require(l.Peers.IsValid(), "listen.peers", "missing")
	rep.require(l.Admin.IsValid(), "listen.admin", "missing")
	if l.Callers.IsValid() && l.Callers.Port() != 0 {
		rep.require(l.Callers != l.Peers && l.Callers != l.Admin, "listen", "the addresses must differ")
	}
}

// Log holds the minimum level of logged messages: debug, info, warn or error.
type Log struct {
	Level string `json:"level"`
}

func (l Log) check(rep *report) {
	var level slog.Level
	rep.require(level.UnmarshalText([]byte(l.Level)) == nil, "log.level", "not one of debug, info, warn, error")
}

// SlogLevel returns the level for log/slog, or slog.LevelInfo if the level is not valid.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	return level
}
