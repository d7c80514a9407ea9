package conf

import (
	"encoding/json"
	"os"
	"strings"

	"mulleingate.dev/base/fault"
)

// Settings are a box's settings.
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

// Defaults are the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Platform: platformDefaults(), Member: memberDefaults(), Slots: slotsDefaults(), Engines: enginesDefaults(),
		Admit: admitDefaults(), Limits: limitsDefaults(), Log: Log{Level: "info"},
	}
}

// Load reads and checks a file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Refuse(fault.BadSettings, "settings file cannot be read").WithCause(err)
	}
	return Parse(raw)
}

// Parse reads and checks settings. The failure lists everything that is wrong.
func Parse(raw []byte) (Settings, error) {
	set := Defaults()
	var rep report
	var doc any
	if err := json.Unmarshal(raw, &doc); err != nil {
		rep.add("", "not JSON: "+err.Error())
		return set, rep.err()
	}
	walk(&rep, doc, &set)
	if len(rep.faults) == 0 {
		set.check(&rep)
	}
	return set, rep.err()
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

// report collects what is wrong, each with its path in the file.
type report struct {
	faults []string
}

func (r *report) add(path, detail string) {
	if path != "" {
		detail = path + ": " + detail
	}
	r.faults = append(r.faults, detail)
}

func (r *report) need(ok bool, path, detail string) {
	if !ok {
		r.add(path, detail)
	}
}

func (r *report) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return fault.Refuse(fault.BadSettings, strings.Join(r.faults, "\n"))
}
