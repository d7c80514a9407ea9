package remote

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/memory"
	"mulleingate.dev/gate/work"
)

// smallBox is the memory of the smallest boxes, and mostGrowth the part of it by which a test may let the heap grow.
const (
	smallBox   = 112 << 20
	mostGrowth = smallBox / 4
)

// heapGrowth runs do and returns the largest growth meanwhile of what the garbage collector leaves, in bytes.
func heapGrowth(do func()) int64 {
	inUse := func() int64 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	before, most := inUse(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	for {
		select {
		case <-done:
			return most
		case <-time.After(5 * time.Millisecond):
			most = max(most, inUse()-before)
		}
	}
}

// heldTurns keeps each turn until it is released.
type heldTurns struct {
	Turns
	begun, release chan struct{}
}

func (h heldTurns) RunHere(context.Context, int, []work.Box, *work.Call, *work.Route, work.Answer) error {
	h.begun <- struct{}{}
	<-h.release
	return fault.Refuse(fault.BudgetSpent, "")
}

// startServer starts the server of a small box on a free port.
func startServer(t *testing.T, turns Turns) netip.AddrPort {
	t.Helper()
	self := work.Box{Name: "b", Peer: netip.MustParseAddrPort(closedAddr(t))}
	s := NewServer(self, turns, nil, nil, nil, nil, nil, memory.NewBudgets(smallBox).Bodies, &panicCounts{}, slog.New(slog.DiscardHandler))
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		_ = s.Stop(ctx) // connections may be open
	})
	return self.Peer
}

// sendEndless sends start and then bytes again and again, pause apart, until the connection fails or the time is over. It
// returns how long the connection stayed open.
func sendEndless(t *testing.T, to netip.AddrPort, start, bytes string, pause, limit time.Duration) time.Duration {
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	began, raw := time.Now(), []byte(bytes)
	_ = conn.SetDeadline(began.Add(limit)) // the first write fails if the connection is closed
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}()
	_, err = io.WriteString(conn, start)
	for err == nil {
		select {
		case <-closed:
			return time.Since(began)
		case <-time.After(pause):
			_, err = conn.Write(raw)
		}
	}
	<-closed
	return time.Since(began)
}

// TestEndlessRequestsOfBoxes guards against requests of boxes in trouble that do not end: their bodies were kept without a
// bound on all of them together, and slow ones stayed open for as long as their sender liked.
func TestEndlessRequestsOfBoxes(t *testing.T) {
	const conns, limit = 60, 8 * time.Second
	head := func(path, length string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: b\r\n" + length + "\r\n\r\n"
	}
	turn, err := frame(turnRequest{Call: &work.Call{ID: "i", Turn: &work.Turn{Program: "p"}}, Route: &work.Route{}, LeftMillis: 1000})
	if err != nil {
		t.Fatal(err)
	}
	longHead := string(binary.BigEndian.AppendUint32(nil, maxTurnHeader))
	block, chunk := strings.Repeat("x", 1<<16), "10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n"
	for name, c := range map[string]struct {
		start, bytes string
		pause        time.Duration
	}{
		"header of a turn":      {head(turnPath, "Content-Length: 60000000") + longHead, block, 0},
		"body of a turn":        {head(turnPath, "Content-Length: 60000000") + string(turn), block, 0},
		"turn in chunks":        {head(turnPath, "Transfer-Encoding: chunked"), chunk, 0},
		"turn of 1 EB":          {head(turnPath, "Content-Length: 1000000000000000000") + string(turn), block, 0},
		"slow turn":             {head(turnPath, "Content-Length: 60000000") + string(turn), "x", 20 * time.Millisecond},
		"slow header of a turn": {head(turnPath, "Content-Length: 60000000") + longHead, "x", 20 * time.Millisecond},
		"records":               {head(deliverPath+"?slot=1", "Content-Length: 32000000") + `[{"Key":"`, block, 0},
		"slow records":          {head(deliverPath+"?slot=1", "Content-Length: 32000000") + `[`, " ", 20 * time.Millisecond},
		"log":                   {head(logPath, "Content-Length: 32000000") + `{"op":"`, block, 0},
		"quota":                 {head(quotaPath, "Content-Length: 32000000") + `{"workspace":"`, block, 0},
		"slow copy":             {head(copyPath, "Content-Length: 32000000") + `{`, " ", 20 * time.Millisecond},
		"header lines":          {"GET /ping HTTP/1.1\r\nHost: b\r\n", "A: " + block + "\r\n", 0},
		"slow header lines":     {"GET /ping HTTP/1.1\r\nHost: b\r\n", "A: b\r\n", 20 * time.Millisecond},
		"request line":          {"GET /find?turn=", block, 0},
	} {
		t.Run(name, func(t *testing.T) {
			turns := heldTurns{begun: make(chan struct{}, conns), release: make(chan struct{})}
			close(turns.release)
			to := startServer(t, turns)
			var all sync.WaitGroup
			var mu sync.Mutex
			longest := time.Duration(0)
			growth := heapGrowth(func() {
				for range conns {
					all.Go(func() {
						took := sendEndless(t, to, c.start, c.bytes, c.pause, limit)
						mu.Lock()
						defer mu.Unlock()
						longest = max(longest, took)
					})
				}
				all.Wait()
			})
			if growth > mostGrowth || longest >= limit {
				t.Errorf("heap grew by %d MB, a connection stayed open for %v", growth>>20, longest)
			}
		})
	}
}

// TestTurnsBeyondMemoryHaveNotRun checks that forwarded turns are refused as not run while others hold the memory for bodies,
// that small ones are served meanwhile, and that a turn that is larger than that memory is served when it is alone.
func TestTurnsBeyondMemoryHaveNotRun(t *testing.T) {
	const size, most = 3 << 19, 100
	budget := int(memory.NewBudgets(smallBox).Bodies.Limit())
	held := heldTurns{begun: make(chan struct{}, most), release: make(chan struct{})}
	box := work.Box{Name: "b", Peer: startServer(t, held)}
	client := newNearClient()
	defer client.CloseAllExcept(nil)
	results := make(chan *fault.Fault, most)
	send := func(size int) {
		now := time.Now()
		call := &work.Call{ID: "i", Turn: &work.Turn{Program: "p"}, Body: make([]byte, size), Deadline: now.Add(20 * time.Second), Arrived: now}
		results <- fault.From(client.Turn(context.Background(), box, 1, nil, call, &work.Route{}, unexpectedAnswer{t}))
	}
	within := budget / size
	for range within {
		go send(size)
		<-held.begun
	}
	for range 5 {
		send(size)
		if got := <-results; got.Kind != fault.Overloaded || !got.NotRun || got.RetryAfter <= 0 {
			t.Errorf("beyond the budget: %v, not run: %v, retry after %v", got, got.NotRun, got.RetryAfter)
		}
	}
	go send(4 << 10)
	<-held.begun
	close(held.release)
	for range within + 1 {
		if got := <-results; got.Kind != fault.BudgetSpent {
			t.Errorf("within the budget: %v", got)
		}
	}
	send(budget + size)
	if got := <-results; got.Kind != fault.BudgetSpent {
		t.Errorf("larger than the budget, alone: %v", got)
	}
}

// endlessFind answers each search with a long text.
type endlessFind struct{ Turns }

func (endlessFind) Find(context.Context, string, bool) ([]byte, []int) {
	return make([]byte, 8<<20), nil
}

// TestUnreadSearchEnds guards against responses that are kept for as long as the box that asked does not read them.
func TestUnreadSearchEnds(t *testing.T) {
	to := startServer(t, endlessFind{})
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET %s?turn=x HTTP/1.1\r\nHost: b\r\n\r\n", findPath); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil { // the server has begun to write, however busy the machine is
		t.Fatal(err)
	}
	time.Sleep(bodyTimeout + time.Second)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // the read fails if the connection is closed
	if n, _ := io.Copy(io.Discard, conn); n > 8<<20 {         // the connection may stay open
		t.Errorf("the whole response of %d bytes was still kept", n)
	}
}
