package remote

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleingate.dev/gate/mirror"
	"mulleingate.dev/gate/quota"
	"mulleingate.dev/gate/view"
	"mulleingate.dev/gate/work"
)

// endlessBox is a box that answers each request with a head, and then with the same bytes, pause apart, until the client
// closes.
func endlessBox(t *testing.T, head, bytes string, pause time.Duration) work.Box {
	t.Helper()
	raw := []byte(bytes)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := conn.Write([]byte(head))
				for err == nil {
					time.Sleep(pause)
					_, err = conn.Write(raw)
				}
			}()
		}
	}()
	return work.Box{Name: "b", Peer: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: "i"}
}

// TestEndlessResponsesOfBoxes guards against responses of boxes in trouble that do not end: up to 32 MB were kept of each,
// also of a ping or a grant, on all connections at once.
func TestEndlessResponsesOfBoxes(t *testing.T) {
	const (
		requests = 60
		deadline = time.Second
		// slack is what a busy machine may add to the deadline.
		slack = 3 * time.Second
	)
	client := NewClient(func(work.Box) bool { return true }, func(int, work.Box) []work.Box { return nil })
	defer client.CloseAllExcept(nil)
	asked := map[string]func(ctx context.Context, box work.Box) bool{
		"ping": func(ctx context.Context, box work.Box) bool { return client.Ping(ctx, box) },
		"taken": func(ctx context.Context, box work.Box) bool {
			return client.NotifyTaken(ctx, box, 1, work.Owner{}) == nil
		},
		"deliver": func(ctx context.Context, box work.Box) bool {
			return client.Deliver(ctx, box, 1, []work.Record{{Key: "k"}}) == nil
		},
		"find": func(ctx context.Context, box work.Box) bool {
			_, _, err := client.Find(ctx, box, "t", 1, false)
			return err == nil
		},
		"quota": func(ctx context.Context, box work.Box) bool {
			_, err := client.Quota(ctx, box, quota.GrantRequest{Want: 1})
			return err == nil
		},
		"copy": func(ctx context.Context, box work.Box) bool {
			_, err := client.Copy(ctx, box, mirror.CopyRequest{})
			return err == nil
		},
		"roster": func(ctx context.Context, box work.Box) bool {
			_, err := client.Roster(ctx, box, mirror.RosterRequest{})
			return err == nil
		},
		"log": func(ctx context.Context, box work.Box) bool {
			_, err := client.LogVia(box).Newest(ctx, work.Shard{}, "")
			return err == nil
		},
		"reach": func(ctx context.Context, box work.Box) bool { return client.AskContact(ctx, box, box) != view.Unknown },
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, box := range map[string]work.Box{
		"fast":      endlessBox(t, ok+"\r\n", strings.Repeat(" ", 1<<16), 0),
		"in chunks": endlessBox(t, ok+"Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("[", 1<<16)+"\r\n", 0),
		"slow":      endlessBox(t, ok+"Content-Length: 100000000000\r\n\r\n", " ", 20*time.Millisecond),
	} {
		for path, ask := range asked {
			t.Run(name+" "+path, func(t *testing.T) {
				var all sync.WaitGroup
				var mu sync.Mutex
				longest := time.Duration(0)
				growth := heapGrowth(func() {
					for range requests {
						all.Go(func() {
							ctx, stop := context.WithTimeout(context.Background(), deadline)
							defer stop()
							start := time.Now()
							succeeded := ask(ctx, box)
							mu.Lock()
							defer mu.Unlock()
							longest = max(longest, time.Since(start))
							if succeeded {
								t.Error("a request succeeded")
							}
						})
					}
					all.Wait()
				})
				most := int64(mostGrowth)
				if path == "find" {
					most = 2 * maxText // what a chain of 16 MB takes
				}
				if growth > most || longest > deadline+slack {
					t.Errorf("heap grew by %d MB, the longest request took %v", growth>>20, longest)
				}
			})
		}
	}
}
