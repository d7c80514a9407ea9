package front

import (
	"net/http"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/plain"
)

// programCall runs a service call of a program.
func (f *Front) programCall(c *call) error {
	svcCall, token, err := f.parseCall(c)
	if err != nil {
		return err
	}
	svcCall.Program = c.pathParam("id")
	slot, err := ident.ProgramSlot(svcCall.Program)
	if err != nil {
		return err
	}
	path := PathPrograms + "/" + svcCall.Program + "/calls/" + svcCall.Service.Name
	return f.runOnOwner(c, slot, path, func() error {
		svcCall.Continuation, err = f.programs.Continuation(c.workspace, svcCall.Program, token)
		if err != nil {
			return err
		}
		state, err := f.programs.State(c.r.Context(), c.workspace, svcCall.Program, token)
		if err != nil {
			return err
		}
		svcCall.Input.DataClass, svcCall.Input.Model = state.DataClass, state.Model
		return f.runService(c, slot, svcCall)
	})
}

// serviceCall runs a service call without a program. A call with a key to a service that is
// not repeatable runs on the owner of the key's slot, any other call on the box that received it.
func (f *Front) serviceCall(c *call) error {
	svcCall, _, err := f.parseCall(c)
	if err != nil {
		return err
	}
	svcCall.Input.DataClass = c.r.URL.Query().Get("data_class")
	if svcCall.Key == "" || svcCall.Service.Repeatable {
		return f.runService(c, ident.Slot{}, svcCall)
	}
	slots := f.policies.Slots()
	slot := ident.KeySlot(c.workspace, svcCall.Key, slots)
	return f.runOnOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.runService(c, slot, svcCall)
	})
}

// parseCall builds the call of the request's service and returns the caller's continuation token.
func (f *Front) parseCall(c *call) (plain.ServiceCall, string, error) {
	svc, err := f.policies.Service(c.pathParam("service"))
	if err != nil {
		return plain.ServiceCall{}, "", err
	}
	key, err := c.idempotencyKey()
	if err != nil {
		return plain.ServiceCall{}, "", err
	}
	var body types.ServiceCall
	if err := c.decode(&body); err != nil {
		return plain.ServiceCall{}, "", err
	}
	if len(body.Input) == 0 {
		return plain.ServiceCall{}, "", fault.Refuse(fault.BadRequest, "input is missing")
	}
	svcCall := plain.ServiceCall{
		Service: svc, Input: types.RuleInput{Workspace: c.workspace}, Key: key, Body: body.Input,
		GrantChunk: f.policies.Defaults().GrantChunk,
	}
	return svcCall, body.Continuation, nil
}

func (f *Front) runService(c *call, slot ident.Slot, svcCall plain.ServiceCall) error {
	answer, err := f.calls.Call(c.r.Context(), slot, svcCall)
	if err != nil {
		return err
	}
	server.WriteJSON(c.w, http.StatusOK, answer)
	return nil
}
