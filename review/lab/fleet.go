package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "desk.example"

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// box is one box, over all starts of its process.
type box struct {
	name, zone, callers, ready, settings string
	cmd                                  *exec.Cmd
	done                                 chan struct{}
	logs                                 *os.File
}

// fleet is a small deployment: a store, replicas and boxes.
type fleet struct {
	rec    *record
	ip     string
	dir    string
	binary string
	store  *store
	// boxes are those that clients use, and all also those that were taken away.
	boxes, all []*box
	// mu guards starts of processes. closed is set once there are no further ones.
	mu     sync.Mutex
	closed bool
	// starts takes the commands to start. One thread starts all of them, and they end with it: see startProcesses.
	starts chan start
	// events is the number of events in an answer of the model replicas.
	events int
	stop   chan struct{}
}

// loopback returns a loopback address that other runs are unlikely to use.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid>>8&0x7f, pid&0xff, 1+n)
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newFleet starts a store. The binary is the program of the deploy file.
func newFleet(rec *record, binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, ip: loopback(0), dir: dir, binary: binary, stop: make(chan struct{}), starts: make(chan start)}
	go f.startProcesses()
	f.store, err = newStore(f.ip)
	return f, err
}

// addBox prepares a box in the zone, with settings like those of the pages' small deployments.
func (f *fleet) addBox(zones []string, memoryMB int) error {
	n := len(f.boxes)
	zone := zones[n%len(zones)]
	ip := loopback(1 + n)
	ports := make([]int, 3)
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "r"
	}
	b := &box{name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, callers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	settings := map[string]any{
		"node_name": b.name, "role": "node", "machine_class": "frontend", "serves": []string{"frontend"}, "ip_address": ip,
		"zone": zone, "region": "r", "zones": regions,
		"listen_addresses":    map[string]string{"frontend": b.callers, "ready": b.ready},
		"internal_port_range": []int{ports[2], ports[2]}, "seed_nodes": []string{}, "first_start": true, "data_directory": nil,
		"limits":                map[string]any{"processor_share": 0.8, "cores": 1, "memory_mb": memoryMB, "file_descriptors": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_interval_ms": 1200,
		"bounds": map[string]any{
			"reuse_after_s": 2, "contact_ms": 3000, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000,
			"rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "finish_deadline_s": 10,
		},
		"platform": map[string]any{
			"address": f.store.addr, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": partsPerTopic, "append_ms": 1.0,
			"part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": maxRecordBytes, "call_bytes": maxCallBytes, "retention_s": historyFor.Seconds(),
			"partition_mb": 200, "min_ttl_ms": 1000,
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	b.settings = filepath.Join(f.dir, b.name+".json")
	if err := os.WriteFile(b.settings, raw, 0o600); err != nil {
		return err
	}
	if b.logs, err = os.Create(filepath.Join(f.dir, b.name+".log")); err != nil {
		return err
	}
	f.boxes, f.all = append(f.boxes, b), append(f.all, b)
	return nil
}

// start is a command to start, and where its result goes.
type start struct {
	cmd    *exec.Cmd
	result chan error
}

// startProcesses starts processes that are killed if this one ends in whatever way. The kernel does that when the thread ends
// that has started them, so that one thread, which lasts as long as the process, starts all.
func (f *fleet) startProcesses() {
	runtime.LockOSThread()
	for next := range f.starts {
		next.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		next.result <- next.cmd.Start()
	}
}

// start starts the process of a box with the command of the deploy file.
func (f *fleet) start(b *box) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("the case has ended")
	}
	b.cmd = exec.Command(f.binary, "node")
	b.cmd.Env = []string{"MULLEINGATE_NODE_FILE=" + b.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	b.cmd.Stdout, b.cmd.Stderr = b.logs, b.logs
	next := start{cmd: b.cmd, result: make(chan error)}
	f.starts <- next
	if err := <-next.result; err != nil {
		return err
	}
	f.rec.log("box %s started", b.name)
	done := make(chan struct{})
	b.done = done
	cmd := b.cmd
	go func() {
		_ = cmd.Wait() // a box that was killed ends with an error
		close(done)
	}()
	return nil
}

// killAll kills the processes of all boxes at once and waits for their end.
func (f *fleet) killAll() {
	for _, b := range f.boxes {
		_ = b.cmd.Process.Signal(os.Kill)
	}
	for _, b := range f.boxes {
		<-b.done
		f.rec.log("box %s killed", b.name)
	}
}

// startAll starts all boxes and waits until they are ready.
func (f *fleet) startAll(wait time.Duration) error {
	for _, b := range f.boxes {
		if err := f.start(b); err != nil {
			return err
		}
	}
	return f.awaitReady(wait)
}

// awaitReady waits until all boxes say that they are ready.
func (f *fleet) awaitReady(wait time.Duration) error {
	until := time.Now().Add(wait)
	for _, b := range f.boxes {
		for !isReady(b) {
			if time.Now().After(until) {
				return fmt.Errorf("box %s is not ready after %v", b.name, wait)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.rec.log("all boxes are ready")
	return nil
}

func isReady(b *box) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the fleet started. It keeps their logs only if LAB_KEEP is set.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	close(f.stop)
	for _, b := range f.all {
		if b.done != nil {
			_ = b.cmd.Process.Signal(os.Kill)
			<-b.done
		}
		_ = b.logs.Close()
	}
	if keep := os.Getenv("LAB_KEEP"); keep != "" {
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// request is a request of a client.
type request struct {
	id, method, path string
	headers          map[string]string
	body             []byte
}

// answer is what a client got: status 0 if no complete answer came.
type answer struct {
	status     int
	retryAfter time.Duration
	body       string
}

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 5 * time.Second

// send sends a request to a box on a new channel.
func (f *fleet) send(b *box, r request) answer {
	req, err := http.NewRequest(r.method, "http://"+b.callers+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(requestID, r.id)
	req.Header.Set(requestDeadline, fmt.Sprint(clientDeadline.Milliseconds()))
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	f.rec.log("client sends %s %s to %s, program %s, previous turn %q, %d bytes", r.id, r.path, b.name, r.headers[programID], r.headers[previousTurn], len(r.body))
	client := http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	got := answer{}
	resp, err := client.Do(req)
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			got.status, got.body = resp.StatusCode, string(raw)
			if after, err := time.ParseDuration(strings.TrimSpace(resp.Header.Get("Retry-After")) + "s"); err == nil {
				got.retryAfter = after
			}
		}
	}
	f.rec.log("client gets %d for %s from %s, %d bytes, retry after %v", got.status, r.id, b.name, len(got.body), got.retryAfter)
	return got
}
