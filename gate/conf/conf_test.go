package conf

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/fault"
)

func TestExampleSettingsAreValid(t *testing.T) {
	want := map[string]map[string]int{
		"ghent":  {"hall-gent": 4, "hall-mechelen": 4, "hall-namur": 4},
		"ndokwa": {"enugu-a": 3, "enugu-b": 3, "onitsha-a": 3, "aba-a": 2},
	}
	for name, zones := range want {
		files, err := filepath.Glob("../../examples/" + name + "/box-*.json")
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]int{}
		for _, file := range files {
			settings, err := Load(file)
			if err != nil {
				t.Fatalf("%s: %v", file, err)
			}
			got[settings.Box.Zone]++
		}
		if diff := cmp.Diff(zones, got); diff != "" {
			t.Errorf("%s: number of boxes per zone (-want +got):\n%s", name, diff)
		}
	}
}

func TestParseReportsAllProblemsWithPaths(t *testing.T) {
	raw := `{
	  "box": {"name": "Box 1", "zome": "a"},
	  "listen": {"callers": "localhost:80", "peers": 7},
	  "member": {"beat": "soon"},
	  "security": {"operator_keys": ["%%%"]},
	  "extra": 1
	}`
	_, err := Parse([]byte(raw))
	if !fault.Is(err, fault.BadSettings) {
		t.Fatalf("unexpected error: %v", err)
	}
	var got []string
	for line := range strings.Lines(fault.From(err).Detail) {
		path, _, _ := strings.Cut(line, ":")
		got = append(got, path)
	}
	want := []string{"box.zome", "extra", "listen.callers", "listen.peers", "member.beat", "security.operator_keys[0]"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("paths (-want +got):\n%s\n%v", diff, err)
	}
}

func TestParseReportsMissingSettings(t *testing.T) {
	_, err := Parse([]byte(`{"box": {"name": "a", "zone": "z"}}`))
	for _, path := range []string{"listen.callers", "listen.peers", "listen.admin", "platform.log", "platform.list", "security.root_key", "security.operator_keys", "security.callers.cert"} {
		if err == nil || !strings.Contains(err.Error(), path+":") {
			t.Errorf("%s is missing from the error: %v", path, err)
		}
	}
}

func TestParseAllowsNoTLSOnlyOnLoopback(t *testing.T) {
	raw := `{"box":{"name":"a","zone":"z"},"listen":{"callers":"10.0.0.1:1","peers":"127.0.0.1:2","admin":"127.0.0.1:3"},
	  "platform":{"log":"10.0.0.2:1","list":"10.0.0.2:2"},
	  "security":{"insecure_loopback":true,"root_key":"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=","operator_keys":["AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="]}}`
	_, err := Parse([]byte(raw))
	if err == nil || !strings.Contains(err.Error(), "security.callers.cert") || strings.Contains(err.Error(), "security.peers.cert") {
		t.Errorf("unexpected error: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"box":{"name":"a","zone":"z"},"member":{"beat":"1s"}}`))
	f.Add([]byte(`{"security":{"operator_keys":[1,[]]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := Parse(raw)
		if err != nil && !fault.Is(err, fault.BadSettings) {
			t.Errorf("error is not of kind BadSettings: %v", err)
		}
	})
}
