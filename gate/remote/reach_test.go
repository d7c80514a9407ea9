package remote

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// silentBox returns a box whose host ignores new connections, as behind a cut, and the listener from which the
// connections made before can be accepted.
func silentBox(t *testing.T) (work.Box, net.Listener, func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	box := work.Box{Name: "b", Incarnation: "1", Peer: netip.MustParseAddrPort(ln.Addr().String())}
	silence := func() {
		raw, err := ln.(*net.TCPListener).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		// The kernel drops connection requests once the shortened queue of those to accept is full.
		if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			conn, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
		t.Skip("this kernel accepts connections beyond the queue")
	}
	return box, ln, silence
}

// startBox starts the server of a box that answers pings, and lets delay pass before each response.
func startBox(t *testing.T, incarnation string, delay time.Duration) work.Box {
	t.Helper()
	s := NewServer(work.Box{Incarnation: incarnation}, nil, nil, nil, nil, nil, nil, memory.NewBudgets(0).Bodies, nil, slog.New(slog.DiscardHandler))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		s.http.Handler.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return work.Box{Name: "b", Incarnation: "1", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
}

// TestContact checks that a box whose kernel accepts connections counts as alive, however slow its process is, and
// that only a refused connection or another incarnation counts as gone.
func TestContact(t *testing.T) {
	silent, _, silence := silentBox(t)
	silence()
	for _, c := range []struct {
		name string
		box  work.Box
		want view.Contact
	}{
		{"answers", startBox(t, "1", 0), view.Answered},
		{"slow", startBox(t, "1", 300*time.Millisecond), view.Answered},
		{"restarted", startBox(t, "2", 0), view.Gone},
		{"refuses", work.Box{Peer: netip.MustParseAddrPort(closedAddr(t))}, view.Gone},
		{"silent", silent, view.Silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			if got := newNearClient().Contact(context.Background(), c.box); got != c.want {
				t.Errorf("contact %s, want %s", got, c.want)
			}
			if took := time.Since(start); took > 2*contactTimeout {
				t.Errorf("the check took %v", took)
			}
		})
	}
}

// TestRunningTime guards against a box that finds others silent because it is not given the processor itself: a stall
// counts as one tick.
func TestRunningTime(t *testing.T) {
	now := time.Now()
	ran := runningTime{last: now}
	for _, step := range []time.Duration{contactTick, 300 * time.Millisecond, contactTick, time.Hour} {
		now = now.Add(step)
		ran.pass(now)
	}
	if want := 2*contactTick + 2*maxCountedTick; ran.total != want {
		t.Errorf("%v counted, want %v", ran.total, want)
	}
}

// timeRunning calls do and returns how long that took, and how much of it this process ran, by the same measure as that of
// checks: these wait longer if the process is not given the processor.
func timeRunning(do func()) (took, ran time.Duration) {
	start := time.Now()
	clock := runningTime{last: start}
	tick := time.NewTicker(contactTick)
	defer tick.Stop()
	done := make(chan struct{})
	go func() { defer close(done); do() }()
	for {
		select {
		case now := <-tick.C:
			clock.pass(now)
		case <-done:
			clock.pass(time.Now())
			return time.Since(start), clock.total
		}
	}
}

// TestTurnToSilentBoxFailsEarly checks that a turn over a connection to a box that has become silent fails in a
// small part of continueTimeout, and is known not to have run, as is one that needs a new connection.
func TestTurnToSilentBoxFailsEarly(t *testing.T) {
	box, ln, silence := silentBox(t)
	c := newNearClient()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Read(make([]byte, 1<<10)) // any request will do
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}()
	if !c.Ping(context.Background(), box) {
		t.Fatal("no answer to the ping")
	}
	silence()
	for _, what := range []string{"on an idle connection", "on a new connection"} {
		start := time.Now()
		f := turnTo(t, c, box)
		if took := time.Since(start); f.Kind != fault.PeerUnreachable || !f.NotRun || took > 200*time.Millisecond {
			t.Errorf("%s: %v, not run %v, after %v", what, f, f.NotRun, took)
		}
	}
}

// TestSilentBoxesAreCheckedTogether checks that a turn does not wait anew for the next owner if that one is lost
// together with the first, as in a zone that is cut off, and that the result is not used for long.
func TestSilentBoxesAreCheckedTogether(t *testing.T) {
	first, _, silenceFirst := silentBox(t)
	next, _, silenceNext := silentBox(t)
	silenceFirst()
	silenceNext()
	c := NewClient(func(work.Box) bool { return true }, func(_ int, box work.Box) []work.Box {
		if box.Peer == first.Peer {
			return []work.Box{next}
		}
		return nil
	})
	took, ran := timeRunning(func() {
		for _, box := range []work.Box{first, next} {
			if f := turnTo(t, c, box); f.Kind != fault.PeerUnreachable || !f.NotRun {
				t.Errorf("%v, not run %v", f, f.NotRun)
			}
		}
	})
	if ran > suspectAfter+contactTimeout+suspectAfter {
		t.Errorf("both turns took %v, in %v of which this process ran", took, ran)
	}
	time.Sleep(checkTTL)
	if c.foundSilent(next) {
		t.Error("an old check still counts")
	}
}

// TestSlowBoxIsCheckedRarely checks that turns which wait for a slow box share the check of whether it is alive: a
// connection for each would add to the load of a box that is behind.
func TestSlowBoxIsCheckedRarely(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var conns atomic.Int64
	go func() {
		for {
			if _, err := ln.Accept(); err != nil {
				return
			}
			conns.Add(1)
		}
	}()
	box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String())}
	c := newNearClient()
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			if !c.accepts(box) {
				t.Error("the box counts as lost")
			}
		})
	}
	all.Wait()
	if got := conns.Load(); got > contactTries {
		t.Errorf("%d connections", got)
	}
}

// TestSearchOfSilentBoxFailsEarly checks that a search for a turn does not wait for a silent box until its timeout,
// while a slow box is waited for.
func TestSearchOfSilentBoxFailsEarly(t *testing.T) {
	silent, _, silence := silentBox(t)
	silence()
	took, ran := timeRunning(func() {
		if _, _, err := newNearClient().Find(context.Background(), silent, "turn", 3, false); !fault.Is(err, fault.PeerUnreachable) {
			t.Error(err)
		}
	})
	if ran > 250*time.Millisecond {
		t.Errorf("the search took %v, in %v of which this process ran", took, ran)
	}
	var home atomic.Value
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * suspectAfter)
		home.Store(r.URL.Query().Get(slotParam))
		_, _ = w.Write([]byte(`{"slots":[3]}`)) // the client checks the response
	}))
	defer srv.Close()
	slow := work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	if _, slots, err := newNearClient().Find(context.Background(), slow, "turn", 3, false); err != nil || len(slots) != 1 {
		t.Errorf("%v, %v", slots, err)
	}
	if got := home.Load(); got != "3" {
		t.Errorf("asked with slot %v, which a box of an earlier version must confirm to own", got)
	}
}

// TestTurnToSlowBox checks that a box that asks for the body late, but accepts connections, still gets the turn:
// the short wait for the first sign of life must not move the turns of slow owners elsewhere.
func TestTurnToSlowBox(t *testing.T) {
	bodies := make(chan int, 4)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != turnPath {
			return
		}
		time.Sleep(4 * suspectAfter)
		msg, err := (&turnWriter{flush: http.NewResponseController(w)}).readTurn(r.Body) // asks for the body
		if err != nil {
			t.Error(err)
			return
		}
		bodies <- len(msg.Call.Body)
		problem := fault.Refuse(fault.BudgetSpent, "spent").Problem("")
		_ = (&turnWriter{w: w}).send(turnResponse{Problem: &problem}) // the client checks the response
	}))
	defer srv.Close()
	f := turnTo(t, newNearClient(), work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())})
	if f.Kind != fault.BudgetSpent || len(bodies) != 1 {
		t.Errorf("%v after %d requests", f, len(bodies))
	}
}

// beginTurn has a box accept a turn on the listener, ask for its body and begin an answer, if begin is set.
func beginTurn(t *testing.T, ln net.Listener, begin bool) net.Conn {
	conn, err := ln.Accept()
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	buf := make([]byte, 4<<10)
	_, _ = conn.Read(buf) // the head of the request
	_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	_, _ = conn.Read(buf) // its body
	if !begin {
		return conn
	}
	raw, err := frame(turnResponse{Head: &work.Head{Status: http.StatusOK}})
	if err != nil {
		t.Error(err)
	}
	raw = append(raw, "event"...)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(raw), raw)
	return conn
}

// partialAnswer is a work.Answer that records the body.
type partialAnswer struct{ body []byte }

func (a *partialAnswer) Begin(work.Head) error { return nil }
func (a *partialAnswer) Write(data []byte) error {
	a.body = append(a.body, data...)
	return nil
}

// gapAnswer is a work.Answer that counts the times without data that are long enough for a check.
type gapAnswer struct {
	last time.Time
	gaps int64
	// begin is called when the answer begins.
	begin func()
}

func (a *gapAnswer) Begin(work.Head) error {
	a.begin()
	return nil
}

func (a *gapAnswer) Write([]byte) error {
	const margin = 20 * time.Millisecond // the data is counted a little later here than by the client
	now := time.Now()
	if now.Sub(a.last) >= silentAfter-margin {
		a.gaps++
	}
	a.last = now
	return nil
}

// longTurn sends a turn to the box and returns its result and the time it took.
func longTurn(c *Client, box work.Box, out work.Answer) (time.Duration, error) {
	now := time.Now()
	call := &work.Call{ID: "r", Turn: &work.Turn{Program: "p"}, Arrived: now, Deadline: now.Add(3 * time.Second)}
	err := c.Turn(context.Background(), box, 1, nil, call, &work.Route{}, out)
	return time.Since(now), err
}

// TestTurnInProgressEndsWithItsBox guards against turns that wait for TCP to notice that the box which runs them is
// lost. They may have run, and an answer that has begun must not look complete.
func TestTurnInProgressEndsWithItsBox(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprintf("answer begun %v", begun), func(t *testing.T) {
			box, ln, silence := silentBox(t)
			began := make(chan struct{})
			go func() {
				beginTurn(t, ln, begun)
				silence()
				close(began)
			}()
			out := &partialAnswer{}
			took, err := longTurn(newNearClient(), box, out)
			t.Logf("the turn ended after %v", took)
			if f := fault.From(err); err == nil || f.Kind != fault.PeerUnreachable || f.NotRun || took > 700*time.Millisecond || took < silentAfter {
				t.Errorf("%v after %v", err, took)
			}
			if want := map[bool]string{true: "event"}[begun]; string(out.body) != want {
				t.Errorf("got %q before the end", out.body)
			}
			<-began
		})
	}
}

// TestTurnInProgressAtLiveBoxGoesOn guards against the end of a turn whose box is slow, or stops and so refuses new
// connections, but still runs it.
func TestTurnInProgressAtLiveBoxGoesOn(t *testing.T) {
	for _, name := range []string{"slow", "refuses connections"} {
		t.Run(name, func(t *testing.T) {
			_, ln, _ := silentBox(t)
			box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String())}
			go func() {
				conn := beginTurn(t, ln, true)
				if name != "slow" {
					_ = ln.Close() // the connection of the turn stays open
				}
				time.Sleep(1500 * time.Millisecond)
				_, _ = conn.Write([]byte("3\r\nend\r\n0\r\n\r\n")) // the client checks the answer
			}()
			out := &partialAnswer{}
			if took, err := longTurn(newNearClient(), box, out); err != nil || string(out.body) != "eventend" {
				t.Errorf("got %q after %v: %v", out.body, took, err)
			}
		})
	}
}

// TestTurnsInProgressShareChecks checks that many turns that wait for a slow box share its checks, and that a turn that
// gets events is not checked for. On a busy machine, turns may begin so late that their box is checked as for a
// suspicion, so connections count once all turns have begun; and an event may arrive so late that a check is due, of
// up to contactTries connections.
func TestTurnsInProgressShareChecks(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		most int64
	}{{"silent turns", time.Hour, 40}, {"events every 100 ms", 100 * time.Millisecond, 0}} {
		t.Run(c.name, func(t *testing.T) {
			var conns atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := (&turnWriter{flush: http.NewResponseController(w)}).readTurn(r.Body); err != nil {
					return
				}
				out := &turnWriter{w: w, flush: http.NewResponseController(w), deadline: time.Now().Add(time.Minute)}
				_ = out.Begin(work.Head{Status: http.StatusOK}) // the number of connections is checked
				for r.Context().Err() == nil {
					_ = out.Write([]byte("event")) // the same
					select {
					case <-time.After(c.gap):
					case <-r.Context().Done():
					}
				}
			}))
			srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			srv.Start()
			defer srv.Close()
			box := work.Box{Name: "b", Peer: netip.MustParseAddrPort(srv.Listener.Addr().String())}
			client := newNearClient()
			const turns = 50
			var all sync.WaitGroup
			var gaps, begun, connsAtBegin atomic.Int64
			begin := func() {
				if begun.Add(1) == turns {
					connsAtBegin.Store(conns.Load())
				}
			}
			for range turns {
				all.Go(func() {
					out := &gapAnswer{last: time.Now(), begin: begin}
					if took, err := longTurn(client, box, out); took < 2900*time.Millisecond {
						t.Errorf("%v after %v", err, took)
					}
					gaps.Add(out.gaps)
				})
			}
			all.Wait()
			if got := conns.Load() - connsAtBegin.Load(); begun.Load() < turns || got > c.most+contactTries*gaps.Load() {
				t.Errorf("%d connections for checks, %d events were late, %d turns began", got, gaps.Load(), begun.Load())
			}
		})
	}
}

// TestLocalErrorsSayNothing guards against a box that finds others lost because it has no free descriptors or ports.
func TestLocalErrorsSayNothing(t *testing.T) {
	for errno, want := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.EADDRNOTAVAIL: true, syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false,
	} {
		if err := (&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}); isLocal(err) != want {
			t.Errorf("%v is an error of this box: %v", err, !want)
		}
	}
	for result, want := range map[view.Contact]bool{view.Unknown: false, view.Answered: false, view.Silent: true, view.Gone: true} {
		if got := (&livenessCheck{result: result}).failed(); got != want {
			t.Errorf("a check with result %s has failed: %v", result, got)
		}
	}
}
