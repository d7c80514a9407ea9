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
	commands.RegisterIn(groupStatus, &status{name: "boxes", help: "list the boxes", header: "BOX\tZONE\tREADY\tUP\tREVISION\tCONFIRMED\tSLOTS\tWHY", writeRows: boxRows})
	commands.RegisterIn(groupStatus, &status{name: "slots", help: "list the owned slots", header: "SLOT\tEPOCH\tBOX", writeRows: slotRows})
	commands.RegisterIn(groupStatus, &status{
		name: "targets", help: "list the engines as each box believes them to be",
		header: "BOX\tTARGET\tZONE\tSTATE\tMINE\tLIMIT\tRUNNING\tQUEUED\tSLOW\tCACHED\tREPORT", writeRows: targetRows,
	})
	commands.RegisterIn(groupStatus, &status{
		name: "budgets", help: "list budgets, grants and spending by slot, in tokens",
		header: "SLOT\tBOX\tLOG\tPROGRAMS\tTURNS\tCALLS\tKEYS\tBUDGET\tGRANTED\tSPENT", writeRows: budgetRows,
	})
	commands.RegisterIn(groupStatus, &metrics{})
}

// status prints one table of the boxes' status: boxes, slots, targets or budgets.
type status struct {
	commonFlags
	name, help, header string
	writeRows          func(w io.Writer, b boxStatus)
}

func (s *status) Aliases() []string        { return []string{s.name} }
func (s *status) Help() string             { return s.help }
func (s *status) Flags(cmd *cobra.Command) { s.addFlags(cmd) }

// boxStatus is the status of a box, or the error of the attempt to get it.
type boxStatus struct {
	Addr  netip.AddrPort `json:"addr"`
	Error string         `json:"failed,omitempty"`
	types.BoxStatus
}

func (s *status) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := s.loadSettings()
	if err != nil {
		return err
	}
	cli := client.New("mgctl", nil)
	answers := make([]boxStatus, 0, len(settings.Boxes))
	for _, addr := range settings.Boxes {
		b := boxStatus{Addr: addr}
		if err := cli.Call(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil, &b.BoxStatus); err != nil {
			b.Error = err.Error()
		}
		answers = append(answers, b)
	}
	return s.print(out, answers, s.header, func(w io.Writer) {
		for _, b := range answers {
			if b.Error != "" {
				_, _ = fmt.Fprintf(w, "%s\tdoes not answer\n", b.Addr)
				continue
			}
			s.writeRows(w, b)
		}
	})
}

func roundToMillis(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

func boxRows(w io.Writer, b boxStatus) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%s ago\t%d\t%s\n", b.Box, b.Zone, b.Ready, roundToMillis(time.Duration(b.Uptime)), b.Revision,
		roundToMillis(time.Duration(b.RevisionAge)), len(b.Slots), b.NotReadyReason)
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
			t.Running, t.Queued, t.Slowdown, t.CachedPrograms, roundToMillis(t.ReportAge))
	}
}

func budgetRows(w io.Writer, b boxStatus) {
	for _, s := range b.Slots {
		logState := "up"
		if !s.LogUp {
			logState = "away"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Slot, b.Box, logState, s.Programs, s.Turns, s.Calls, s.Keys,
			s.Budget, s.Granted, s.Spent)
	}
}
