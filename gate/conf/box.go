package conf

import (
	"log/slog"
	"net/netip"
	"regexp"
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Box says who this box is.
type Box struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

func (b Box) check(rep *report) {
	rep.need(nameForm.MatchString(b.Name), "box.name", "missing, or not of lower-case letters, digits and hyphens")
	rep.need(nameForm.MatchString(b.Zone), "box.zone", "missing, or not of lower-case letters, digits and hyphens")
}

// Listen holds the addresses that the box binds.
type Listen struct {
	// Callers is behind the platform's balancer, Peers is for other boxes, Admin for operators.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
}

func (l Listen) check(rep *report) {
	rep.need(l.Callers.IsValid(), "listen.callers", "missing")
	rep.need(l.Peers.IsValid(), "listen.peers", "missing")
	rep.need(l.Admin.IsValid(), "listen.admin", "missing")
	if l.Callers.IsValid() && l.Callers.Port() != 0 {
		rep.need(l.Callers != l.Peers && l.Callers != l.Admin, "listen", "the addresses must differ")
	}
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"`
}

func (l Log) check(rep *report) {
	var level slog.Level
	rep.need(level.UnmarshalText([]byte(l.Level)) == nil, "log.level", "not one of debug, info, warn, error")
}

// Slog is the level for log/slog.
func (l Log) Slog() slog.Level {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	return level
}
