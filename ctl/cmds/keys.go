package cmds

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/seal"
)

func init() {
	commands.RegisterIn(groupKeys, &makeKey{})
	commands.RegisterIn(groupKeys, &rotate{})
	commands.RegisterIn(groupKeys, &hash{})
}

// makeKey generates a root key or an operator's key pair.
type makeKey struct {
	kind, file string
}

func (*makeKey) Aliases() []string { return []string{"make"} }
func (*makeKey) Help() string {
	return "make a root key or an operator's key and print what settings need of it"
}

func (m *makeKey) Flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&m.kind, "kind", "operator", "operator or root")
	cmd.Flags().StringVarP(&m.file, "file", "f", "", "file that gets the key; it must not exist")
}

func (m *makeKey) Execute(_ context.Context, out io.Writer, _ []string) error {
	raw := make([]byte, seal.KeySize)
	_, _ = rand.Read(raw)
	if m.kind != "operator" && m.kind != "root" {
		return fault.Refuse(fault.BadRequest, "kind: not operator or root")
	}
	file, err := os.OpenFile(m.file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Refuse(fault.BadRequest, "file: cannot be created").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(raw); err != nil {
		return fault.Fail(fault.Internal, "cannot write key").WithCause(err)
	}
	if m.kind == "root" {
		_, _ = fmt.Fprintln(out, "root_key_file:", m.file)
		return nil
	}
	public := ed25519.NewKeyFromSeed(raw).Public().(ed25519.PublicKey)
	_, _ = fmt.Fprintln(out, "operator_keys:", base64.StdEncoding.EncodeToString(public))
	return nil
}

// rotate publishes a new data key. The newest previous keys stay valid for decryption.
type rotate struct {
	publish
	keep int
}

func (*rotate) Aliases() []string { return []string{"rotate"} }
func (*rotate) Help() string      { return "publish a new data key; the newest ones stay able to open" }

func (r *rotate) Flags(cmd *cobra.Command) {
	r.addFlags(cmd)
	r.addPublishFlags(cmd)
	cmd.Flags().IntVar(&r.keep, "keep", 3, "how many data keys stay in force")
}

func (r *rotate) Execute(ctx context.Context, out io.Writer, _ []string) error {
	settings, err := r.loadSettings()
	if err != nil {
		return err
	}
	root, err := settings.RootKey()
	if err != nil {
		return err
	}
	rev, _, err := currentRevision(ctx, settings)
	if err != nil {
		return err
	}
	cfg := rev.Config
	now := time.Now().UTC()
	key := root.NewKey("k" + now.Format("20060102t150405"))
	key.CreatedAt = now
	cfg.Keys = append(cfg.Keys[max(0, len(cfg.Keys)-max(1, r.keep)+1):len(cfg.Keys):len(cfg.Keys)], key)
	return r.submit(ctx, out, settings, rev.Number, cfg)
}

// hash prints the hash of a bearer token, as the configuration stores it.
type hash struct{}

func (*hash) Aliases() []string    { return []string{"hash"} }
func (*hash) Help() string         { return "read a bearer token from standard input and print its hash" }
func (*hash) Flags(*cobra.Command) {}

func (*hash) Execute(_ context.Context, out io.Writer, _ []string) error {
	var token string
	if _, err := fmt.Fscan(os.Stdin, &token); err != nil {
		return fault.Refuse(fault.BadRequest, "no token on standard input").WithCause(err)
	}
	_, _ = fmt.Fprintln(out, ident.KeyDigest(token))
	return nil
}
