package prog

import (
	"encoding/json"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const tokenPlace = "continuation"

// token seals a continuation for its workspace.
func (p *Prog) token(cont types.Continuation) (string, error) {
	ring, err := p.policies.Ring()
	if err != nil {
		return "", err
	}
	raw, err := json.Marshal(cont)
	if err != nil {
		return "", fault.Fail(fault.Internal, "continuation does not encode").WithCause(err)
	}
	return ring.SealText(cont.Workspace, tokenPlace, raw)
}

// open reads a token; nil without one. A token of another program or workspace is refused.
func (p *Prog) open(workspace, program, token string) (*types.Continuation, error) {
	if token == "" {
		return nil, nil
	}
	ring, err := p.policies.Ring()
	if err != nil {
		return nil, err
	}
	raw, err := ring.OpenText(workspace, tokenPlace, token)
	if err != nil {
		return nil, err
	}
	var cont types.Continuation
	if json.Unmarshal(raw, &cont) != nil {
		return nil, fault.Refuse(fault.BadContinuation, "continuation does not decode")
	}
	if cont.Workspace != workspace || cont.Program != program {
		return nil, fault.Refuse(fault.BadContinuation, "continuation is of another program")
	}
	return &cont, nil
}

// Continuation opens a token for other services.
func (p *Prog) Continuation(workspace, program, token string) (*types.Continuation, error) {
	return p.open(workspace, program, token)
}

// contentPlace binds sealed content to its program.
func contentPlace(program string) string {
	return "turn " + program
}

func (p *Prog) seal(b types.Begin, content types.TurnContent) ([]byte, error) {
	ring, err := p.policies.Ring()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(content)
	if err != nil {
		return nil, fault.Fail(fault.Internal, "turn does not encode").WithCause(err)
	}
	return ring.Seal(b.Workspace, contentPlace(b.ID), raw)
}

func (p *Prog) unseal(b types.Begin, turn types.Turn) (types.TurnContent, error) {
	var content types.TurnContent
	ring, err := p.policies.Ring()
	if err != nil {
		return content, err
	}
	raw, err := ring.Open(b.Workspace, contentPlace(b.ID), turn.Sealed)
	if err != nil {
		return content, err
	}
	if json.Unmarshal(raw, &content) != nil {
		return content, fault.Refuse(fault.Internal, "turn does not decode")
	}
	return content, nil
}
