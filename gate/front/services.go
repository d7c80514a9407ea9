package front

import (
	"net/http"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/plain"
)

// programCall runs a service call on behalf of a program.
func (f *Front) programCall(c *call) error {
	ask, token, err := f.serviceAsk(c)
	if err != nil {
		return err
	}
	ask.Program = c.path("id")
	slot, err := ident.ProgramSlot(ask.Program)
	if err != nil {
		return err
	}
	path := PathPrograms + "/" + ask.Program + "/calls/" + ask.Service.Name
	return f.onOwner(c, slot, path, func() error {
		ask.Continuation, err = f.programs.Continuation(c.workspace, ask.Program, token)
		if err != nil {
			return err
		}
		state, err := f.programs.State(c.r.Context(), c.workspace, ask.Program, token)
		if err != nil {
			return err
		}
		ask.Input.DataClass, ask.Input.Model = state.DataClass, state.Model
		return f.call(c, slot, ask)
	})
}

// serviceCall runs a service call on its own. One that may not be repeated is owned by
// the slot of its key; any other runs on the box that took it.
func (f *Front) serviceCall(c *call) error {
	ask, _, err := f.serviceAsk(c)
	if err != nil {
		return err
	}
	ask.Input.DataClass = c.r.URL.Query().Get("data_class")
	if ask.Key == "" || ask.Service.Repeatable {
		return f.call(c, ident.Slot{}, ask)
	}
	slots := f.policies.Slots()
	slot := ident.KeySlot(c.workspace, ask.Key, slots)
	return f.onOwner(c, slot, c.r.URL.RequestURI(), func() error {
		return f.call(c, slot, ask)
	})
}

func (f *Front) serviceAsk(c *call) (plain.ServiceCall, string, error) {
	svc, err := f.policies.Service(c.path("service"))
	if err != nil {
		return plain.ServiceCall{}, "", err
	}
	key, err := c.key()
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
	ask := plain.ServiceCall{
		Service: svc, Input: types.RuleInput{Workspace: c.workspace}, Key: key, Body: body.Input,
		Chunk: f.policies.Defaults().GrantChunk,
	}
	return ask, body.Continuation, nil
}

func (f *Front) call(c *call, slot ident.Slot, ask plain.ServiceCall) error {
	answer, err := f.calls.Call(c.r.Context(), slot, ask)
	if err != nil {
		return err
	}
	server.WriteJSON(c.w, http.StatusOK, answer)
	return nil
}
