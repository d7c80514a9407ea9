package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const (
	// boxBinary and boxArgument are the command of deploy/system.toml.
	boxBinary   = "target/mulleingate"
	boxArgument = "node"
	// The ports of every box, each of which has an address of its own.
	frontendPort, readyPort, firstPeerPort, lastPeerPort, metricsPort = 8149, 8141, 7380, 7395, 9100
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 20 * time.Second
	// heartbeatInterval is that of replicas; entryTTL is three of them.
	heartbeatInterval = 1200 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
	// parts is the number of partitions of a topic.
	parts = 24
)

// zones are the availability zones of a case with one region; each has one box.
var zones = []string{"enugu-a", "enugu-b", "onitsha-a", "aba-a"}

// oneRegion maps these zones to their region.
var oneRegion = map[string]string{"enugu-a": "ng-south", "enugu-b": "ng-south", "onitsha-a": "ng-south", "aba-a": "ng-south"}

// settleTime is how long the boxes' views of the fleet take to settle once they are ready.
const settleTime = 2 * time.Second

// errNotRun is the cause of a panic that ends a case which could not run.
var errNotRun = errors.New("the case could not run")

// process is a process that a case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.exited
}

// box is a box of the fleet, over all starts of its process.
type box struct {
	name, zone, ip string
	settings       string
	proc           *process
}

// address returns the address at which callers reach the box.
func (b *box) address() string { return fmt.Sprintf("%s:%d", b.ip, frontendPort) }

// fleet holds the processes of a case.
type fleet struct {
	folder, temp string
	// trouble says whether the disruption of the case takes place.
	trouble bool
	// net is the part of 127.0.0.0/8 that this run uses, without the last byte.
	net   string
	store string
	begun time.Time
	boxes []*box

	mu      sync.Mutex
	closed  bool
	running map[*process]bool
	record  *os.File
	// lastID and lastPort number the requests and the addresses of replicas.
	lastID, lastPort int
}

// newFleet prepares a run in a temporary folder.
func newFleet(folder string, trouble bool) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	if err := record.Close(); err != nil {
		return nil, err
	}
	path, err := filepath.Abs(record.Name())
	if err != nil {
		return nil, err
	}
	// Replicas append to the same file, and each line is one write.
	record, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, temp: temp, trouble: trouble, begun: time.Now(), running: map[*process]bool{}, record: record, lastPort: 20000}
	f.net, err = freeNet()
	return f, err
}

// freeNet returns a part of 127.0.0.0/8 in which no address that a box would use is taken.
func freeNet() (string, error) {
	for try := range 50 {
		number := os.Getpid()*53 + try*7919
		candidate := fmt.Sprintf("127.%d.%d", 20+number/200%200, 1+number%200)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", candidate, frontendPort))
		if err != nil {
			continue
		}
		_ = ln.Close() // it only showed that the address is free
		return candidate, nil
	}
	return "", errNotRun
}

// outcome runs the case and returns its exit code.
func (f *fleet) outcome(run func(f *fleet) bool) (code int) {
	defer func() {
		if cause := recover(); cause != nil {
			f.note("driver", "not run: %v", cause)
			fmt.Fprintln(os.Stderr, "not run:", cause)
			code = exitNotRun
		}
	}()
	if run(f) {
		return exitHeld
	}
	return exitBroken
}

// close ends all processes of the run.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	var all []*process
	for p := range f.running {
		all = append(all, p)
	}
	f.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
	_ = f.record.Close()     // every line has been written
	_ = os.RemoveAll(f.temp) // nothing in it is needed
}

// note appends a line to the record.
func (f *fleet) note(who, format string, args ...any) {
	line := fmt.Sprintf("%s %s %s\n", time.Now().Format("15:04:05.000"), who, fmt.Sprintf(format, args...))
	_, _ = f.record.WriteString(line) // after close, nothing needs to be noted
}

// must ends a case that cannot run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts a process, whose output goes to a file of the temporary folder.
func (f *fleet) start(name string, env []string, argv ...string) *process {
	out, err := os.OpenFile(filepath.Join(f.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	p := &process{cmd: cmd, exited: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		panic(errNotRun)
	}
	must(cmd.Start())
	f.running[p] = true
	go func() {
		_ = cmd.Wait() // the case asks for the end only, not for the status
		f.mu.Lock()
		delete(f.running, p)
		f.mu.Unlock()
		close(p.exited)
	}()
	return p
}

// startStore starts the stand-in of the platform's store.
func (f *fleet) startStore() {
	f.store = f.net + ".250:8142"
	f.start("store", nil, os.Args[0], "store", f.store)
	awaitTrue(func() bool {
		conn, err := net.Dial("tcp", f.store)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// put writes a record of the operator.
func (f *fleet) put(topic, key string, value any) {
	must(putRecord(f.store, topic, key, value))
}

// addBox adds a box without starting it.
func (f *fleet) addBox(zone string, regions map[string]string) *box {
	number := len(f.boxes) + 1
	b := &box{name: fmt.Sprintf("frontend-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s.%d", f.net, number)}
	raw, err := json.Marshal(map[string]any{
		"node_name": b.name, "role": "node", "machine_class": "frontend", "serves": []string{"frontend"}, "ip_address": b.ip,
		"zone": zone, "region": regions[zone], "zones": regions,
		"listen_addresses":    map[string]string{"frontend": b.address(), "ready": fmt.Sprintf("%s:%d", b.ip, readyPort)},
		"internal_port_range": []int{firstPeerPort, lastPeerPort}, "seed_nodes": []string{}, "first_start": true,
		"limits":    map[string]any{"processor_share": 0.4, "cores": 1, "memory_mb": 294, "file_descriptors": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds":          map[string]any{"contact_ms": 3000, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000, "recovery_s": 12},
		"platform": map[string]any{
			"address": f.store, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": parts, "append_ms": 1.0,
			"record_bytes": maxRecordBytes, "call_bytes": maxCallBytes, "retention_s": 300, "partition_mb": 200, "min_ttl_ms": 1000,
		},
	})
	must(err)
	b.settings = filepath.Join(f.temp, b.name+".json")
	must(os.WriteFile(b.settings, raw, 0o600))
	f.boxes = append(f.boxes, b)
	return b
}

// startBoxes starts one box in each zone, and waits until they are ready and know each other.
func (f *fleet) startBoxes() {
	for _, zone := range zones {
		f.startBox(f.addBox(zone, oneRegion))
	}
	f.awaitReady()
	time.Sleep(settleTime)
}

// startBox starts the process of a box.
func (f *fleet) startBox(b *box) {
	b.proc = f.start(b.name, []string{"MULLEINGATE_NODE_FILE=" + b.settings}, boxBinary, boxArgument)
}

// awaitReady waits until all boxes pass the readiness probe.
func (f *fleet) awaitReady() {
	for _, b := range f.boxes {
		awaitTrue(func() bool {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/readiness", b.ip, readyPort))
			if err != nil {
				return false
			}
			_ = resp.Body.Close() // only the status matters
			return resp.StatusCode == http.StatusOK
		})
	}
}

// awaitTrue waits until the condition holds; it ends a case that waits for longer than readyTimeout.
func awaitTrue(condition func() bool) {
	for end := time.Now().Add(readyTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(errNotRun)
		}
	}
}

// replicaPort returns a port for a replica that is not used again.
func (f *fleet) replicaPort() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPort++
	return f.lastPort
}

// startReplica starts a replica, with a new identifier, and returns its process.
func (f *fleet) startReplica(set replicaSettings) *process {
	port := f.replicaPort()
	set.ID = fmt.Sprintf("i-%s-%d", set.Service, port)
	set.Address = fmt.Sprintf("%s.200:%d", f.net, port)
	set.Store, set.Record = f.store, f.record.Name()
	raw, err := json.Marshal(set)
	must(err)
	f.note("driver", "replica %s of %s starts in %s", set.ID, set.Service, set.Zone)
	return f.start(set.ID, nil, os.Args[0], "replica", string(raw))
}

// newID returns the id of a request.
func (f *fleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("%016x", 0x1000000+f.lastID)
}
