package conf

import (
	"encoding/json"
	"os"
	"strings"

	"mulleingate.dev/base/fault"
)

// Settings are the settings of a box, one field per section of the file.
type Settings struct {
	Box      Box      `json:"box"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Security Security `json:"security"`
	Member   Member   `json:"member"`
	Slots    Slots    `json:"slots"`
	Engines  Engines  `json:"engines"`
	Admit    Admit    `json:"admit"`
	Limits   Limits   `json:"limits"`
	Log      Log      `json:"log"`
}

// Defaults returns the values of settings that a file leaves out.
func Defaults() Settings {
	return Settings{
		Platform: platformDefaults(), Member: memberDefaults(), Slots: slotsDefaults(), Engines: enginesDefaults(),
		Admit: admitDefaults(), Limits: limitsDefaults(), Log: Log{Level: "info"},
	}
}

// Load reads a settings file and parses it as Parse does.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Refuse(fault.BadSettings, "settings file cannot be read").WithCause(err)
	}
	return Parse(raw)
}

// Parse decodes settings from JSON and checks them. The error, of kind fault.BadSettings,
// lists all problems, one per line. The checks run only if everything could be decoded.
func Parse(raw []byte) (Settings, error) {
	settings := Defaults()
	var rep report
	var doc any
	if err := json.Unmarshal(raw, &doc); err != nil {
		rep.add("", "not JSON: "+err.Error())
		return settings, rep.toError()
	}
	decode(&rep, doc, &settings)
	if len(rep.problems) == 0 {
		settings.check(&rep)
	}
	return settings, rep.toError()
}

func (s *Settings) check(rep *report) {
	s.Box.check(rep)
	s.Listen.check(rep)
	s.Platform.check(rep)
	s.Security.check(rep, s.Listen)
	s.Member.check(rep)
	s.Slots.check(rep)
	s.Engines.check(rep)
	s.Admit.check(rep)
	s.Limits.check(rep)
	s.Log.check(rep)
}

// report collects the problems in settings, each with its path in the file.
type report struct {
	problems []string
}

func (r *report) add(path, detail string) {
	if path != "" {
		detail = path + ": " + detail
	}
	r.problems = append(r.problems, detail)
}

// require adds a problem unless ok is true.
func (r *report) require(ok bool, path, detail string) {
	if !ok {
		r.add(path, detail)
	}
}

func (r *report) toError() error {
	if len(r.problems) == 0 {
		return nil
	}
	return fault.Refuse(fault.BadSettings, strings.Join(r.problems, "\n"))
}
