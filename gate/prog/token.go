package prog

import (
	"encoding/json"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const tokenContext = "continuation"

// sealToken encrypts a continuation with its workspace's key and returns it as a token.
func (p *Prog) sealToken(cont types.Continuation) (string, error) {
	ring, err := p.policies.Keyring()
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(cont)
	if err != nil {
		return "", fault.Fail(fault.Internal, "cannot encode the continuation").WithCause(err)
	}
	return ring.SealText(cont.Workspace, tokenContext, raw)
}

// openToken decrypts a continuation token. It returns nil if the token is empty, and an error
// if it belongs to another program or workspace.
func (p *Prog) openToken(workspace, program, token string) (*types.Continuation, error) {
	if token == "" {
		return nil, nil
	}
	ring, err := p.policies.Keyring()
	if err != nil {
		return nil, err
	}
	raw, err := ring.OpenText(workspace, tokenContext, token)
	if err != nil {
		return nil, err
	}
	var cont types.Continuation
	if json.Unmarshal(raw, &cont) != nil {
		return nil, fault.Refuse(fault.BadContinuation, "cannot decode the continuation")
	}
	if cont.Workspace != workspace || cont.Program != program {
		return nil, fault.Refuse(fault.BadContinuation, "the continuation belongs to another program")
	}
	return &cont, nil
}

// Continuation returns the continuation in a program's token, or nil if the token is empty.
func (p *Prog) Continuation(workspace, program, token string) (*types.Continuation, error) {
	return p.openToken(workspace, program, token)
}

// contentContext returns the encryption context that binds a turn's content to its program.
func contentContext(program string) string {
	return "turn " + program
}

func (p *Prog) seal(b types.Begin, content types.TurnContent) ([]byte, error) {
	ring, err := p.policies.Keyring()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, fault.Fail(fault.Internal, "cannot encode the turn").WithCause(err)
	}
	return ring.Seal(b.Workspace, contentContext(b.ID), raw)
}

func (p *Prog) unseal(b types.Begin, turn types.Turn) (types.TurnContent, error) {
	var content types.TurnContent
	ring, err := p.policies.Keyring()
	if err != nil {
		return content, err
	}
	raw, err := ring.Open(b.Workspace, contentContext(b.ID), turn.Sealed)
	if err != nil {
		return content, err
	}
	if json.Unmarshal(raw, &content) != nil {
		return content, fault.Refuse(fault.Internal, "cannot decode the turn")
	}
	return content, nil
}
