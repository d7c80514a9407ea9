package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/revs"
	"mulleingate.dev/base/types"
	"mulleingate.dev/ctl/conn"
)

func init() {
	for _, s := range scopes() {
		commands.RegisterIn(s.group, &publish{scope: s})
		commands.RegisterIn(s.group, &revert{publish: publish{scope: s}})
	}
}

const (
	publishTimeout = 30 * time.Second // covers waiting for the rollout too
	rolloutPoll    = 200 * time.Millisecond
)

// publish publishes the content of a file as the next revision.
type publish struct {
	commonFlags
	scope scope
	file  string
	note  string
	base  int64
	wait  bool
}

func (*publish) Aliases() []string { return []string{"publish"} }
func (*publish) Help() string {
	return "publish a file as the next revision; exit code 3 if another operator came first"
}

func (p *publish) Flags(cmd *cobra.Command) {
	p.addFlags(cmd)
	cmd.Flags().StringVarP(&p.file, "file", "f", "", "file to publish")
	p.addPublishFlags(cmd)
}

func (p *publish) addPublishFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&p.note, "message", "m", "", "why")
	cmd.Flags().Int64Var(&p.base, "base", -1, "revision that the change was made from; default: the one in force now")
	cmd.Flags().BoolVar(&p.wait, "wait", false, "wait until the revision is in force on every box of the settings")
}

func (p *publish) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := p.loadSettings()
	if err != nil {
		return err
	}
	rev, _, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	cfg, err := p.scope.applyFile(p.file, rev.Config)
	if err != nil {
		return err
	}
	return p.submit(ctx, out, settings, rev.Number, cfg)
}

// submit publishes cfg as the successor of the revision that --base names, or of the revision
// numbered current without that flag, and prints the result. It creates the first data key if cfg
// has none.
func (p *publish) submit(ctx context.Context, out io.Writer, settings conn.Settings, current int64, cfg types.Config) error {
	key, err := settings.PrivateKey()
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		root, err := settings.RootKey()
		if err != nil {
			return err
		}
		cfg.Keys = append(cfg.Keys, root.NewKey("k1"))
	}
	base := p.base
	if base < 0 {
		base = current
	}
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	draft := revs.Draft{Base: base, Author: settings.Author, Note: p.note, Config: cfg}
	rev, err := revs.Publish(ctx, settings.LogClient(), key, settings.PublicKeys(), draft)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "revision", rev.Number, "accepted")
	if !p.wait {
		return nil
	}
	return waitForRollout(ctx, out, settings, rev.Number)
}

// waitForRollout polls the boxes and prints how many have the revision in force, until all have.
func waitForRollout(ctx context.Context, out io.Writer, settings conn.Settings, number int64) error {
	cli := client.New("mgctl", nil)
	lastPrinted := -1
	for {
		updated := 0
		for _, box := range settings.Boxes {
			var st types.BoxStatus
			err := cli.Call(ctx, http.MethodGet, "http://"+box.String()+"/status", nil, &st)
			if err == nil && st.Revision >= number {
				updated++
			}
		}
		if updated != lastPrinted {
			_, _ = fmt.Fprintf(out, "in force on %d of %d boxes\n", updated, len(settings.Boxes))
			lastPrinted = updated
		}
		if updated == len(settings.Boxes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Fail(fault.StaleConfig, "stopped waiting before the revision was in force on all boxes")
		case <-time.After(rolloutPoll):
		}
	}
}

// revert publishes an earlier revision's content as a new revision.
type revert struct {
	publish
	to int64
}

func (*revert) Aliases() []string { return []string{"revert", "rollback"} }
func (*revert) Help() string      { return "publish the content of an earlier revision as a new one" }

func (r *revert) Flags(cmd *cobra.Command) {
	r.addFlags(cmd)
	r.addPublishFlags(cmd)
	cmd.Flags().Int64Var(&r.to, "to", 0, "revision to go back to")
}

func (r *revert) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := r.loadSettings()
	if err != nil {
		return err
	}
	rev, entries, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Revision.Number != r.to || (entry.Verdict != revs.Accepted && entry.Verdict != revs.AlreadyKnown) {
			continue
		}
		cfg := entry.Revision.Config
		if r.scope.group == groupPolicy {
			cfg = rev.Config
			cfg.Policy = entry.Revision.Config.Policy
		}
		// Keep the current data keys: content encrypted since that revision must stay readable.
		cfg.Keys = rev.Config.Keys
		return r.submit(ctx, out, settings, rev.Number, cfg)
	}
	return fault.Refuse(fault.BadRequest, "the log no longer holds that revision")
}
