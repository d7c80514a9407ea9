package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/sample"
	"mulleingate.dev/base/server"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/conf"
	"mulleingate.dev/stand/plat"
	"mulleingate.dev/stand/proxy"
	"mulleingate.dev/stand/roster"
)

// Spec describes a fleet.
type Spec struct {
	Shape    sample.Deployment
	Platform plat.Spec
	Boxes    int
	// GatePath is the path of the built program, Dir the folder for settings and log files.
	GatePath string
	Dir      string
	// EditSettings changes the settings of each box before it starts; may be nil.
	EditSettings func(set *conf.Settings)
	// Proxied puts a proxy on every link between boxes and to the log. Partitions need it.
	Proxied bool
	// Env holds variables, as NAME=VALUE, that are added to the environment of every box.
	Env []string
}

// Fleet is a set of boxes, each a process, and the stand-in platform that they use.
type Fleet struct {
	Platform *plat.Platform
	Keys     sample.Keys
	spec     Spec
	http     *client.Client

	// mu guards cmd, done and exitCode of every box.
	mu    sync.Mutex
	boxes []*Box
	// peerLinks holds the link from box i to box j under {i, j}, logLinks[i] is that from box i to the log.
	peerLinks map[[2]int]*proxy.Link
	logLinks  map[int]*proxy.Link
	// lists[i] is the list of boxes and targets that box i reads, with the proxies' addresses for
	// the other boxes.
	lists   map[int]*roster.Roster
	servers []*server.Server
}

// Box is one box of the fleet with its settings and its latest process.
type Box struct {
	Name     string
	Zone     string
	Settings conf.Settings
	index    int
	cmd      *exec.Cmd
	// done is closed when the process has ended and exitCode is set.
	done     chan struct{}
	exitCode int
}

const (
	readyTimeout = time.Minute
	callTimeout  = 2 * time.Second
	pollInterval = 10 * time.Millisecond
	portsPerBox  = 3
)

// Build builds the gate program into dir and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "gate")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "mulleingate.dev/gate")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fault.Fail(fault.Internal, "go build of gate failed: "+string(out)).WithCause(err)
	}
	return path, nil
}

// New starts the platform and all boxes, and waits until they are ready. On an error it stops
// whatever it had started.
func New(ctx context.Context, spec Spec) (*Fleet, error) {
	platform, err := plat.New(spec.Platform)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform: platform, Keys: sample.NewKeys("bench"), spec: spec, http: client.New("fleet", nil),
		peerLinks: map[[2]int]*proxy.Link{}, logLinks: map[int]*proxy.Link{}, lists: map[int]*roster.Roster{},
	}
	if err := f.setup(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) setup(ctx context.Context) error {
	cfg, err := sample.Config(f.spec.Shape, f.Keys)
	if err != nil {
		return err
	}
	if _, err := f.Publish(ctx, 0, cfg); err != nil {
		return err
	}
	ports, err := plat.FreePorts(portsPerBox * f.spec.Boxes)
	if err != nil {
		return err
	}
	for i := range f.spec.Boxes {
		f.boxes = append(f.boxes, f.newBox(i, ports[portsPerBox*i:]))
	}
	if err := f.connect(); err != nil {
		return err
	}
	for i := range f.boxes {
		if err := f.Start(i); err != nil {
			return err
		}
	}
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return f.checkRunning()
}

// checkRunning returns a fault if the process of a box has ended. The other boxes take over its slots, so that
// WaitReady does not notice.
func (f *Fleet) checkRunning() error {
	for i, b := range f.boxes {
		if !f.Running(i) {
			return fault.Fail(fault.Internal, fmt.Sprintf("%s exited with %d: %s", b.Name, f.Wait(i), f.LogTail(i)))
		}
	}
	return nil
}

// logTailBytes is the length of the end of a log that LogTail returns.
const logTailBytes = 4 << 10

// LogTail returns the end of the log of box i.
func (f *Fleet) LogTail(i int) string {
	raw, err := os.ReadFile(f.logPath(f.boxes[i]))
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-logTailBytes):])
}

func (f *Fleet) logPath(b *Box) string {
	return filepath.Join(f.spec.Dir, b.Name+".log")
}

func (f *Fleet) newBox(i int, ports []netip.AddrPort) *Box {
	zone := f.spec.Shape.Zones[i%len(f.spec.Shape.Zones)]
	set := conf.Defaults()
	set.Box = conf.Box{Name: fmt.Sprintf("box-%d", i), Zone: zone}
	set.Listen = conf.Listen{Callers: ports[0], Peers: ports[1], Admin: ports[2]}
	set.Platform.Log, set.Platform.List = f.Platform.LogAddr, f.Platform.ListAddr
	set.Platform.Boxes = f.spec.Boxes
	set.Platform.AppendLimit = float64(f.spec.Platform.Log.AppendsPerSecond)
	set.Platform.Retention = f.spec.Platform.Log.Retention
	set.Security = conf.Security{RootKey: f.Keys.Root, OperatorKeys: [][]byte{f.Keys.Public()}, InsecureLoopback: true}
	if f.spec.EditSettings != nil {
		f.spec.EditSettings(&set)
	}
	return &Box{Name: set.Box.Name, Zone: zone, Settings: set, index: i}
}

// connect tells the boxes each other's addresses: through proxies, with a list for each box, or
// without proxies on the platform's list.
func (f *Fleet) connect() error {
	if !f.spec.Proxied {
		for _, b := range f.boxes {
			f.Platform.AddBox(types.Member{Name: b.Name, Zone: b.Zone, Peer: b.Settings.Listen.Peers})
		}
		return nil
	}
	for i, b := range f.boxes {
		if err := f.connectThroughProxies(i, b); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) connectThroughProxies(i int, b *Box) error {
	link, err := proxy.New(plat.Loopback(), f.Platform.LogAddr)
	if err != nil {
		return err
	}
	f.logLinks[i] = link
	b.Settings.Platform.Log = link.Addr()
	list, err := f.Platform.Roster.List()
	if err != nil {
		return err
	}
	for j, other := range f.boxes {
		addr := other.Settings.Listen.Peers
		if i != j {
			link, err := proxy.New(plat.Loopback(), addr)
			if err != nil {
				return err
			}
			f.peerLinks[[2]int{i, j}] = link
			addr = link.Addr()
		}
		list.Boxes = append(list.Boxes, types.Member{Name: other.Name, Zone: other.Zone, Peer: addr})
	}
	f.lists[i] = roster.New(list, 0)
	handler, err := server.Handler(f.lists[i].Routes())
	if err != nil {
		return err
	}
	srv, err := server.Listen(plat.Loopback(), handler, nil)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, srv)
	b.Settings.Platform.List = srv.Addr()
	return nil
}

// Start writes the settings of box i and starts it as a new process.
func (f *Fleet) Start(i int) error {
	b := f.boxes[i]
	raw, err := json.MarshalIndent(b.Settings, "", "  ")
	if err != nil {
		return fault.Fail(fault.Internal, "cannot encode the settings").WithCause(err)
	}
	path := filepath.Join(f.spec.Dir, b.Name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return fault.Fail(fault.Internal, "cannot write the settings file").WithCause(err)
	}
	logFile, err := os.OpenFile(f.logPath(b), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Fail(fault.Internal, "cannot open the log file").WithCause(err)
	}
	cmd := exec.Command(f.spec.GatePath, "run", "--settings", path)
	cmd.Env = append(os.Environ(), f.spec.Env...)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fault.Fail(fault.Internal, "cannot start the box process").WithCause(err)
	}
	done := make(chan struct{})
	f.mu.Lock()
	b.cmd, b.done = cmd, done
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		f.mu.Lock()
		b.exitCode = cmd.ProcessState.ExitCode()
		f.mu.Unlock()
		_ = logFile.Close()
		close(done)
	}()
	return nil
}

// Boxes returns all boxes, running or not.
func (f *Fleet) Boxes() []*Box {
	return f.boxes
}

// Running reports whether the process of box i runs.
func (f *Fleet) Running(i int) bool {
	f.mu.Lock()
	done := f.boxes[i].done
	f.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to box i.
func (f *Fleet) Signal(i int, sig syscall.Signal) {
	f.mu.Lock()
	cmd := f.boxes[i].cmd
	f.mu.Unlock()
	_ = cmd.Process.Signal(sig)
}

// Wait waits for the process of box i and returns its exit code.
func (f *Fleet) Wait(i int) int {
	f.mu.Lock()
	done := f.boxes[i].done
	f.mu.Unlock()
	<-done
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[i].exitCode
}

// Kill ends box i with SIGKILL, as a crash would, and waits for the end of its process.
func (f *Fleet) Kill(i int) {
	f.Signal(i, syscall.SIGKILL)
	f.Wait(i)
}

// PID returns the process ID of box i.
func (f *Fleet) PID(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[i].cmd.Process.Pid
}

// PartitionLog blocks or restores the link from box i to the log.
func (f *Fleet) PartitionLog(i int, cut bool) {
	f.logLinks[i].SetFaults(proxy.Faults{Refuse: cut})
}

// PartitionPeers blocks or restores the calls of box i to box j and their answers. Calls of j to i
// are not affected.
func (f *Fleet) PartitionPeers(i, j int, cut bool) {
	f.peerLinks[[2]int{i, j}].SetFaults(proxy.Faults{DropToTarget: cut, DropFromTarget: cut})
}

// PartitionZone starts or ends a partition between the boxes of a zone and all other boxes and the log.
func (f *Fleet) PartitionZone(zone string, cut bool) {
	for i, b := range f.boxes {
		if b.Zone != zone {
			continue
		}
		f.PartitionLog(i, cut)
		for j, other := range f.boxes {
			if other.Zone != zone {
				f.PartitionPeers(i, j, cut)
				f.PartitionPeers(j, i, cut)
			}
		}
	}
}

// LogLink returns the proxied link from box i to the log.
func (f *Fleet) LogLink(i int) *proxy.Link {
	return f.logLinks[i]
}

// MarkLeaving marks a box or target as leaving, on the platform's list and on those of the boxes.
func (f *Fleet) MarkLeaving(name string) {
	f.Platform.Roster.MarkLeaving(name)
	for _, list := range f.lists {
		list.MarkLeaving(name)
	}
}

// Status returns the status that box i reports.
func (f *Fleet) Status(ctx context.Context, i int) (types.BoxStatus, error) {
	var st types.BoxStatus
	err := f.getAdmin(ctx, i, "/status", &st)
	return st, err
}

// Metrics returns the metrics that box i reports.
func (f *Fleet) Metrics(ctx context.Context, i int) (types.Metrics, error) {
	var metrics types.Metrics
	err := f.getAdmin(ctx, i, "/metrics", &metrics)
	return metrics, err
}

func (f *Fleet) getAdmin(ctx context.Context, i int, path string, out any) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return f.http.Call(ctx, http.MethodGet, "http://"+f.boxes[i].Settings.Listen.Admin.String()+path, nil, out)
}

// OwnerOf returns the index of the box that reports a program's slot as its own.
func (f *Fleet) OwnerOf(ctx context.Context, program string) (int, error) {
	slot, err := ident.ProgramSlot(program)
	if err != nil {
		return 0, err
	}
	for i := range f.boxes {
		st, err := f.Status(ctx, i)
		if err != nil {
			continue
		}
		for _, held := range st.Slots {
			if held.Slot == slot.String() {
				return i, nil
			}
		}
	}
	return 0, fault.Refuse(fault.OwnerUnavailable, "no box holds the slot")
}

// SlotCounts returns the number of slots that each running and ready box reports, by its name.
func (f *Fleet) SlotCounts(ctx context.Context) map[string]int {
	out := map[string]int{}
	for i, b := range f.boxes {
		if !f.Running(i) {
			continue
		}
		if st, err := f.Status(ctx, i); err == nil && st.Ready {
			out[b.Name] = len(st.Slots)
		}
	}
	return out
}

// WaitReady waits until every running box is ready and all slots are owned, and fails after readyTimeout.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	want := f.spec.Shape.SlotsPerZone * len(f.spec.Shape.Zones)
	for {
		owned, ready := 0, 0
		for _, n := range f.SlotCounts(ctx) {
			owned += n
			ready++
		}
		if owned >= want && ready == f.countRunning() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Refuse(fault.OwnerUnavailable, fmt.Sprintf("fleet not ready: %d of %d slots owned by %d boxes", owned, want, ready))
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) countRunning() int {
	n := 0
	for i := range f.boxes {
		if f.Running(i) {
			n++
		}
	}
	return n
}

// Close kills every running box, paused ones included, and stops the proxies and the platform.
func (f *Fleet) Close() {
	for i, b := range f.boxes {
		if b.cmd != nil && f.Running(i) {
			f.Signal(i, syscall.SIGCONT)
			f.Kill(i)
		}
	}
	for _, link := range f.peerLinks {
		link.Close()
	}
	for _, link := range f.logLinks {
		link.Close()
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	for _, srv := range f.servers {
		_ = srv.Stop(ctx)
	}
	f.Platform.Stop()
}
