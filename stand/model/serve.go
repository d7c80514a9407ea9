package model

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
)

const maxBodyBytes = 64 << 20

// Server serves an engine over HTTP.
type Server struct {
	engine *Engine
	// weightStore is the address of the weight store; the zero value means there is none.
	weightStore netip.AddrPort
	httpClient  *client.Client
}

// NewServer returns a server that fetches weights from the weight store for each load order.
func NewServer(engine *Engine, weightStore netip.AddrPort) *Server {
	return &Server{engine: engine, weightStore: weightStore, httpClient: client.New("engine-out", nil)}
}

// LoadResponse is the response body of the load route.
type LoadResponse struct {
	Report types.LoadReport   `json:"load"`
	Events []types.CacheEvent `json:"events"`
}

// Routes returns the HTTP routes of the engine and of its fault injection.
func (s *Server) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.serveStart},
		{Method: http.MethodGet, Path: "/v1/streams/:attempt", Handler: s.serveFollow},
		{Method: http.MethodPost, Path: "/v1/streams/:attempt/cancel", Handler: s.serveCancel},
		{Method: http.MethodGet, Path: "/v1/load", Handler: s.serveLoad},
		{Method: http.MethodPost, Path: "/v1/cache", Handler: s.serveCache},
		{Method: http.MethodGet, Path: "/v1/cache", Handler: s.serveItems},
		{Method: http.MethodPost, Path: "/v1/orders", Handler: s.serveOrder},
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.serveModels},
		{Method: http.MethodGet, Path: "/control/stats", Handler: s.serveStats},
		{Method: http.MethodPut, Path: "/control", Handler: s.serveControl},
	}
}

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	var call types.EngineCall
	if err := server.ReadJSON(w, r, maxBodyBytes, &call); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	if err := s.engine.Start(call); err != nil {
		server.WriteProblem(w, call.Attempt, err)
		return
	}
	s.follow(w, r, call.Attempt, 0)
}

func (s *Server) serveFollow(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	s.follow(w, r, pathvar.Vars(r)["attempt"], after)
}

func (s *Server) follow(w http.ResponseWriter, r *http.Request, attempt string, after int) {
	s.engine.mu.Lock()
	_, ok := s.engine.streams[attempt]
	s.engine.mu.Unlock()
	if !ok {
		server.WriteProblem(w, attempt, fault.Refuse(fault.NoProgram, "no such stream"))
		return
	}
	out := server.NewStream(w)
	err := s.engine.Follow(r.Context(), attempt, after, func(ev types.EngineEvent) error { return out.Send(ev) })
	if err != nil {
		server.CloseConnection(w)
		return
	}
	_ = out.Close()
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.engine.Cancel(pathvar.Vars(r)["attempt"])
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	load, events := s.engine.LoadReport(after)
	server.WriteJSON(w, http.StatusOK, LoadResponse{Report: load, Events: events})
}

func (s *Server) serveCache(w http.ResponseWriter, r *http.Request) {
	var order types.CacheOrder
	if err := server.ReadJSON(w, r, maxBodyBytes, &order); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	err := s.applyCacheOrder(r, order)
	if err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) applyCacheOrder(r *http.Request, order types.CacheOrder) error {
	if order.Op != OpImport {
		return s.engine.ApplyCacheOrder(order)
	}
	var items map[string]CacheItem
	url := "http://" + order.From.String() + "/v1/cache"
	if err := s.httpClient.Call(r.Context(), http.MethodGet, url, nil, &items); err != nil {
		return err
	}
	wanted := map[string]CacheItem{}
	for _, key := range order.Keys {
		if it, ok := items[key]; ok {
			wanted[key] = it
		}
	}
	s.engine.ImportItems(wanted)
	return nil
}

func (s *Server) serveItems(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, s.engine.CacheItems())
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order types.EngineOrder
	if err := server.ReadJSON(w, r, maxBodyBytes, &order); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	if order.Kind == OrderLoad && s.weightStore.IsValid() {
		err := s.httpClient.Call(r.Context(), http.MethodPost, "http://"+s.weightStore.String()+"/v1/fetch", struct{}{}, nil)
		if err != nil {
			server.WriteProblem(w, "", err)
			return
		}
	}
	if err := s.engine.ApplyOrder(order); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	server.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, s.engine.Models())
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, s.engine.Stats())
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if err := server.ReadJSON(w, r, maxBodyBytes, &in); err != nil {
		server.WriteProblem(w, "", err)
		return
	}
	s.engine.SetFaults(in)
	server.WriteJSON(w, http.StatusOK, in)
}
