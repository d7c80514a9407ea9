package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// program is the path of the system's program.
var program string

const (
	recordBytes = 262144
	callBytes   = 2097152

	callerPort, readyPort, firstPeerPort, lastPeerPort = 8149, 8141, 7380, 7395

	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// startLimit bounds the time until a box is ready.
	startLimit = 15 * time.Second
)

// box is a process of the system.
type box struct {
	name, ip, zone, settings string
	log                      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// machine describes the machines of a deployment.
type machine struct {
	boxes, memoryMB, parts, recoveryS int
	cores, linkMbps                   float64
}

// fleet is a small deployment: boxes, the store and replicas, each on a loopback address of its own.
type fleet struct {
	dir    string
	prefix string
	zones  []string
	store  *store
	boxes  []*box
	models []*replica
	tools  []*replica
	record *recorder
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newFleet starts n boxes in turn over the zones.
func newFleet(record *recorder, zones []string, m machine) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-probe-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{dir: dir, zones: zones, record: record, prefix: fmt.Sprintf("127.%d.%d.", 16+pid>>8%200, pid&0xff)}
	f.store = newStore()
	for i := range m.boxes {
		b, err := f.newBox(fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i+1), fmt.Sprintf("%s%d", f.prefix, 100+i), zones[i%len(zones)], m)
		if err != nil {
			return nil, err
		}
		f.boxes = append(f.boxes, b)
	}
	return f, nil
}

func (f *fleet) newBox(name, ip, zone string, m machine) (*box, error) {
	addr, err := f.store.open(f.prefix+"1", m.linkMbps)
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, z := range f.zones {
		regions[z] = "be-central"
	}
	settings := map[string]any{
		"node_name": name, "role": "node", "machine_class": "frontend", "serves": []string{"frontend"}, "ip_address": ip, "zone": zone, "region": "be-central", "zones": regions,
		"listen_addresses":    map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, callerPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)},
		"internal_port_range": []int{firstPeerPort, lastPeerPort}, "seed_nodes": []string{}, "first_start": true, "counts_toward_tolerance": false,
		"limits":         map[string]any{"processor_share": m.cores, "cores": 1, "memory_mb": m.memoryMB, "file_descriptors": 8200, "link_mbps": m.linkMbps, "disk_mb": 0},
		"data_directory": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4.3, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
			"configuration_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": m.recoveryS, "pass_ms": 120, "retry_after_s": 0, "finish_deadline_s": 10, "settle_ms": 1000,
		},
		"platform": map[string]any{
			"address": addr, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": m.parts, "append_ms": 1.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
			"record_bytes": recordBytes, "call_bytes": callBytes, "retention_s": 300, "partition_mb": 200, "min_ttl_ms": 1000,
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &box{name: name, ip: ip, zone: zone, settings: file, log: log}, nil
}

// starts takes functions that start processes. They run on a thread that lasts as long as this program, since a process is
// killed when the thread that started it ends.
var starts = func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
	return starts
}()

// start starts the process of the box with the command of the deploy file.
func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	cmd := exec.Command(program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MULLEINGATE_NODE_FILE=" + b.settings}
	cmd.Stdout, cmd.Stderr = b.log, b.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	starts <- func() { failed <- cmd.Start() }
	if err := <-failed; err != nil {
		return err
	}
	b.cmd, b.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(b.ended)
	return nil
}

// signal sends a signal to the process of the box.
func (b *box) signal(sig syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(sig)
	}
}

// alive reports whether the process runs.
func (b *box) alive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return false
	}
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// wait waits until the process has ended.
func (b *box) wait() {
	b.mu.Lock()
	ended := b.ended
	b.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready asks the box whether it is ready, as the platform does.
func (b *box) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", b.ip, readyPort))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the given boxes.
func (f *fleet) startAll(boxes []*box) error {
	for _, b := range boxes {
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the given boxes are ready.
func (f *fleet) awaitReady(boxes []*box) error {
	deadline := time.Now().Add(startLimit)
	for _, b := range boxes {
		for !b.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// killAll kills the given boxes and starts them again after a short delay.
func (f *fleet) killAll(boxes []*box) error {
	for _, b := range boxes {
		b.signal(syscall.SIGKILL)
	}
	for _, b := range boxes {
		b.wait()
	}
	f.record.note("killed %d boxes", len(boxes))
	time.Sleep(restartDelay)
	return f.startAll(boxes)
}

// noteRuns records what the replicas have run.
func (f *fleet) noteRuns() {
	for _, r := range append(append([]*replica(nil), f.models...), f.tools...) {
		r.mu.Lock()
		for _, begun := range r.runs {
			f.record.note("run %s at %s, %v after the start, program %s previous %q, %d bytes, %d events", begun.id, r.id, begun.at.Sub(f.record.start), begun.program, begun.previous, len(begun.body), begun.events)
		}
		r.mu.Unlock()
	}
}

// close ends all processes.
func (f *fleet) close() {
	for _, b := range f.boxes {
		b.signal(syscall.SIGKILL)
	}
	for _, b := range f.boxes {
		b.wait()
		_ = b.log.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// addrOf returns the address for clients of a box.
func (b *box) addr() string { return net.JoinHostPort(b.ip, fmt.Sprint(callerPort)) }
