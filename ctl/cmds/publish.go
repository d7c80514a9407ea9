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
	publishWait = 30 * time.Second
	spreadPoll  = 200 * time.Millisecond
)

// publish makes a file's content the next revision.
type publish struct {
	common
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
	p.flags(cmd)
	cmd.Flags().StringVarP(&p.file, "file", "f", "", "file to publish")
	p.shared(cmd)
}

func (p *publish) shared(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&p.note, "message", "m", "", "why")
	cmd.Flags().Int64Var(&p.base, "base", -1, "revision that the change was made from; default: the one in force now")
	cmd.Flags().BoolVar(&p.wait, "wait", false, "wait until the revision is in force on every box of the settings")
}

func (p *publish) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := p.load()
	if err != nil {
		return err
	}
	rev, _, err := current(ctx, file)
	if err != nil {
		return err
	}
	cfg, err := p.scope.read(p.file, rev.Config)
	if err != nil {
		return err
	}
	return p.send(ctx, out, file, rev.Number, cfg)
}

// send publishes on the base that was asked for, and tells how it went.
func (p *publish) send(ctx context.Context, out io.Writer, file conn.File, have int64, cfg types.Config) error {
	key, err := file.Private()
	if err != nil {
		return err
	}
	if len(cfg.Keys) == 0 {
		root, err := file.Root()
		if err != nil {
			return err
		}
		cfg.Keys = append(cfg.Keys, root.NewKey("k1"))
	}
	base := p.base
	if base < 0 {
		base = have
	}
	ctx, stop := context.WithTimeout(ctx, publishWait)
	defer stop()
	draft := revs.Draft{Base: base, Author: file.Author, Note: p.note, Config: cfg}
	rev, err := revs.Publish(ctx, file.Client(), key, file.Public(), draft)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "revision", rev.Number, "accepted")
	if !p.wait {
		return nil
	}
	return spread(ctx, out, file, rev.Number)
}

// spread shows the boxes that have the revision until all do.
func spread(ctx context.Context, out io.Writer, file conn.File, number int64) error {
	cli := client.New("mgctl", nil)
	last := -1
	for {
		have := 0
		for _, box := range file.Boxes {
			var st types.BoxStatus
			err := cli.Call(ctx, http.MethodGet, "http://"+box.String()+"/status", nil, &st)
			if err == nil && st.Revision >= number {
				have++
			}
		}
		if have != last {
			_, _ = fmt.Fprintf(out, "in force on %d of %d boxes\n", have, len(file.Boxes))
			last = have
		}
		if have == len(file.Boxes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Fail(fault.StaleConfig, "not in force everywhere in time")
		case <-time.After(spreadPoll):
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
	r.flags(cmd)
	r.shared(cmd)
	cmd.Flags().Int64Var(&r.to, "to", 0, "revision to go back to")
}

func (r *revert) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := r.load()
	if err != nil {
		return err
	}
	rev, all, err := current(ctx, file)
	if err != nil {
		return err
	}
	for _, seen := range all {
		if seen.Revision.Number != r.to || (seen.Verdict != revs.Accepted && seen.Verdict != revs.AlreadyKnown) {
			continue
		}
		cfg := seen.Revision.Config
		if r.scope.group == groupPolicy {
			cfg = rev.Config
			cfg.Policy = seen.Revision.Config.Policy
		}
		// Keys never go back: content sealed since then must still open.
		cfg.Keys = rev.Config.Keys
		return r.send(ctx, out, file, rev.Number, cfg)
	}
	return fault.Refuse(fault.BadRequest, "the log no longer holds that revision")
}
