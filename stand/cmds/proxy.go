package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/stand/proxy"
)

func init() {
	commands.Register(&proxyCmd{})
}

// proxyCmd runs the fault-injecting proxy.
type proxyCmd struct {
	addrFlag
	links []string
}

func (*proxyCmd) Aliases() []string { return []string{"proxy"} }
func (*proxyCmd) Help() string {
	return "run a TCP proxy that delays, cuts and resets; PUT /control?link=NAME sets its faults"
}

func (p *proxyCmd) Flags(cmd *cobra.Command) {
	p.addFlag(cmd)
	cmd.Flags().StringArrayVar(&p.links, "link", nil, "NAME=LISTEN=TARGET; may be repeated")
}

func (p *proxyCmd) Execute(ctx context.Context, out io.Writer, _ []string) error {
	group := proxy.NewGroup()
	for _, text := range p.links {
		fields := strings.Split(text, "=")
		if len(fields) != 3 {
			return fault.Refuse(fault.BadSettings, "link: not NAME=LISTEN=TARGET")
		}
		listen, err := netip.ParseAddrPort(fields[1])
		if err != nil {
			return fault.Refuse(fault.BadSettings, "link: LISTEN is not a numeric address with a port")
		}
		target, err := netip.ParseAddrPort(fields[2])
		if err != nil {
			return fault.Refuse(fault.BadSettings, "link: TARGET is not a numeric address with a port")
		}
		link, err := proxy.New(listen, target)
		if err != nil {
			return err
		}
		defer link.Close()
		group.Add(fields[0], link)
		_, _ = fmt.Fprintln(out, fields[0], "on", link.Addr())
	}
	return p.serve(ctx, out, group.Routes())
}
