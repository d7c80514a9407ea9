package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

func init() {
	commands.RegisterIn(groupProgram, &explain{})
	commands.RegisterIn(groupRequest, &explain{})
}

// explain collects the decisions on a program or request from all boxes.
type explain struct {
	common
}

func (*explain) Aliases() []string          { return []string{"explain"} }
func (*explain) Help() string               { return "tell why: targets weighed, retries, refusals; takes an id" }
func (e *explain) Flags(cmd *cobra.Command) { e.flags(cmd) }

// step is one decision, and the box that took it.
type step struct {
	Box string `json:"box"`
	types.TraceEvent
}

func (e *explain) Execute(ctx context.Context, out io.Writer, args []string) error {
	if len(args) != 1 {
		return fault.Refuse(fault.BadRequest, "one id is needed")
	}
	file, err := e.load()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	var all []step
	silent := 0
	for _, box := range file.Boxes {
		var steps []types.TraceEvent
		if err := cli.Call(ctx, http.MethodGet, "http://"+box.String()+"/explain/"+url.PathEscape(args[0]), nil, &steps); err != nil {
			silent++
			continue
		}
		for _, s := range steps {
			all = append(all, step{Box: box.String(), TraceEvent: s})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	if silent > 0 {
		_, _ = fmt.Fprintf(out, "# %d of %d boxes did not answer\n", silent, len(file.Boxes))
	}
	return e.print(out, all, "AT\tBOX\tREQUEST\tWHAT\tWHY\tTARGET\tWEIGHED", func(w io.Writer) {
		for _, s := range all {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.At.Format("15:04:05.000"), s.Box, s.Request, s.Event, s.Reason, s.Target, scores(s.Candidates))
		}
	})
}

func scores(all []types.ScoredTarget) string {
	parts := make([]string, 0, len(all))
	for _, c := range all {
		text := fmt.Sprintf("%s=%s(load %d, cached %d)", c.Name, c.Score.Round(time.Millisecond), c.Load, c.CachedTokens)
		if !c.HasRoom {
			text += " full"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}
