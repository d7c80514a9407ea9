package cmds

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/shell"
	"mulleingate.dev/ctl/conn"
	"mulleingate.dev/stand/applog"
)

// operatorDir is a directory with an operator's settings and keys, for a log that runs in the test.
type operatorDir struct {
	t            *testing.T
	dir          string
	settingsPath string
}

func newOperatorDir(t *testing.T) *operatorDir {
	t.Helper()
	handler, err := server.Handler(applog.New(applog.Faults{}).Routes())
	if err != nil {
		t.Fatal(err)
	}
	srv, err := server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = srv.Stop(t.Context()) })
	d := &operatorDir{t: t, dir: t.TempDir()}
	keys := sample.NewKeys("ctl")
	settings := conn.Settings{
		Log: srv.Addr(), Author: "tester", OperatorKeys: [][]byte{keys.Public()},
		OperatorKeyFile: d.write("operator.key", keys.Operator.Seed()), RootKeyFile: d.write("root.key", keys.Root),
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	d.settingsPath = d.write("mgctl.json", raw)
	return d
}

func (d *operatorDir) write(name string, raw []byte) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func (d *operatorDir) run(args ...string) (int, string) {
	d.t.Helper()
	var out, errOut bytes.Buffer
	code := Run(append(args, "--settings", d.settingsPath), &out, &errOut)
	return code, out.String() + errOut.String()
}

func TestPublishRaceRevertAndRotate(t *testing.T) {
	d := newOperatorDir(t)
	config := "../../examples/ghent/config.json"
	policy := d.write("policy.json", []byte(`{"place":"true","order":"0","spend":"budget","samples":[]}`))
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"config", "check", "-f", config}, shell.ExitOK, "ok"},
		{[]string{"config", "publish", "-f", config, "-m", "first"}, shell.ExitOK, "revision 1 accepted"},
		{[]string{"policy", "diff", "-f", policy}, shell.ExitOK, `+  "place": "true",`},
		{[]string{"policy", "publish", "-f", policy}, shell.ExitOK, "revision 2 accepted"},
		{[]string{"policy", "publish", "-f", policy, "--base", "1"}, shell.ExitConflict, "another revision was published first"},
		{[]string{"policy", "revert", "--to", "1"}, shell.ExitOK, "revision 3 accepted"},
		{[]string{"policy", "show"}, shell.ExitOK, "be-central"},
		{[]string{"keys", "rotate"}, shell.ExitOK, "revision 4 accepted"},
		{[]string{"config", "history"}, shell.ExitOK, "lost_race"},
		{[]string{"config", "history", "-o", "xml"}, shell.ExitUsage, "output"},
		{[]string{"config", "revert", "--to", "99"}, shell.ExitUsage, "no longer holds"},
		{[]string{"policy", "check", "-f", d.write("bad.json", []byte(`{"place":"1"}`))}, shell.ExitUsage, "policy.place"},
		{[]string{"policy", "check", "-f", d.write("odd.json", []byte(`{"plaice":"true"}`))}, shell.ExitUsage, "plaice"},
	}
	for _, step := range steps {
		code, out := d.run(step.args...)
		if diff := cmp.Diff(step.code, code); diff != "" || !strings.Contains(out, step.want) {
			t.Errorf("%v: exit code (-want +got):\n%s\noutput without %q:\n%s", step.args, diff, step.want, out)
		}
	}
}

func TestPublishRejectsUnknownOperatorKey(t *testing.T) {
	d := newOperatorDir(t)
	d.write("operator.key", sample.NewKeys("somebody").Operator.Seed())
	code, out := d.run("config", "publish", "-f", "../../examples/ghent/config.json")
	if code != shell.ExitFailed || !strings.Contains(out, "not one of operator_keys") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
