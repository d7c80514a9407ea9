package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/types"
)

func init() {
	commands.RegisterIn(groupStatus, &status{name: "boxes", help: "list the boxes", head: "BOX\tZONE\tREADY\tUP\tREVISION\tCONFIRMED\tSLOTS\tWHY", rows: boxRows})
	commands.RegisterIn(groupStatus, &status{name: "slots", help: "list the owned slots", head: "SLOT\tEPOCH\tBOX", rows: slotRows})
	commands.RegisterIn(groupStatus, &status{
		name: "targets", help: "list the engines as each box believes them to be",
		head: "BOX\tTARGET\tZONE\tSTATE\tMINE\tLIMIT\tRUNNING\tQUEUED\tSLOW\tCACHED\tREPORT", rows: targetRows,
	})
	commands.RegisterIn(groupStatus, &status{
		name: "budgets", help: "list budgets, grants and spending by slot, in tokens",
		head: "SLOT\tBOX\tLOG\tPROGRAMS\tTURNS\tCALLS\tKEYS\tBUDGET\tGRANTED\tSPENT", rows: budgetRows,
	})
	commands.RegisterIn(groupStatus, &figures{})
}

// status shows one side of the boxes' status.
type status struct {
	common
	name, help, head string
	rows             func(w io.Writer, b boxStatus)
}

func (s *status) Aliases() []string        { return []string{s.name} }
func (s *status) Help() string             { return s.help }
func (s *status) Flags(cmd *cobra.Command) { s.flags(cmd) }

// boxStatus is a box's answer, or why there is none.
type boxStatus struct {
	Addr   netip.AddrPort `json:"addr"`
	Failed string         `json:"failed,omitempty"`
	types.BoxStatus
}

func (s *status) Execute(ctx context.Context, out io.Writer, _ []string) error {
	file, err := s.load()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	all := make([]boxStatus, 0, len(file.Boxes))
	for _, addr := range file.Boxes {
		b := boxStatus{Addr: addr}
		if err := cli.Call(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil, &b.BoxStatus); err != nil {
			b.Failed = err.Error()
		}
		all = append(all, b)
	}
	return s.print(out, all, s.head, func(w io.Writer) {
		for _, b := range all {
			if b.Failed != "" {
				_, _ = fmt.Fprintf(w, "%s\tdoes not answer\n", b.Addr)
				continue
			}
			s.rows(w, b)
		}
	})
}

func short(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

func boxRows(w io.Writer, b boxStatus) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%s ago\t%d\t%s\n", b.Box, b.Zone, b.Ready, short(time.Duration(b.Uptime)), b.Revision,
		short(time.Duration(b.RevisionAge)), len(b.Slots), b.NotReadyReason)
}

func slotRows(w io.Writer, b boxStatus) {
	for _, slot := range b.Slots {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", slot.Slot, slot.Epoch, b.Box)
	}
}

func targetRows(w io.Writer, b boxStatus) {
	for _, t := range b.Targets {
		state := "in_service"
		switch {
		case t.Leaving:
			state = "leaving"
		case t.Ejected:
			state = "ejected"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%s ago\n", b.Box, t.Name, t.Zone, state, t.InFlight, t.Limit,
			t.Running, t.Queued, t.Slowdown, t.CachedPrograms, short(t.ReportAge))
	}
}

func budgetRows(w io.Writer, b boxStatus) {
	for _, s := range b.Slots {
		log := "up"
		if !s.LogUp {
			log = "away"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Slot, b.Box, log, s.Programs, s.Turns, s.Calls, s.Keys,
			s.Budget, s.Granted, s.Spent)
	}
}
