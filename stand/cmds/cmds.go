package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/shell"
)

const version = "0.1.0"

var commands = shell.New()

// Run parses and runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	return commands.Run("stand", "Simulates the platform's services", version, args, out, errOut)
}

// addrFlag is the listening address, a flag of all commands.
type addrFlag struct {
	value string
}

func (a *addrFlag) addFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&a.value, "addr", "127.0.0.1:0", "numeric address to listen on")
}

func (a *addrFlag) parse() (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(a.value)
	if err != nil {
		return addr, fault.Refuse(fault.BadSettings, "addr: not a numeric address with a port")
	}
	return addr, nil
}

// serve serves the routes until ctx is done, after printing the listening address.
func (a *addrFlag) serve(ctx context.Context, out io.Writer, routes []rest.Route) error {
	addr, err := a.parse()
	if err != nil {
		return err
	}
	handler, err := server.Handler(routes)
	if err != nil {
		return err
	}
	srv, err := server.Listen(addr, handler, nil)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, "listening on", srv.Addr())
	<-ctx.Done()
	return srv.Stop(context.WithoutCancel(ctx))
}
