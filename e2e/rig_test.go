// Package e2e_test drives separate serve processes from outside: it starts,
// kills, freezes and cuts them, and checks what callers and targets saw.
package e2e_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/io/thoperator"
	"tamarackhollow/io/thstand"
	"tamarackhollow/io/thwire"

	"gotest.tools/v3/assert"
)

const (
	platformCredential = "platform-credential"
	peerCredential     = "peer-credential"
	operatorCredential = "operator-credential"

	// patience bounds every wait; it is far above what any promise allows, so
	// that a slow machine fails no test that a fast one passes.
	patience = 60 * time.Second
	step     = 20 * time.Millisecond
	// dumpTime is given to a process to write out its goroutines.
	dumpTime = 500 * time.Millisecond
)

// command is the built program.
var command string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "tamarackhollow-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	command = filepath.Join(dir, "tamarackhollow")
	build := exec.Command("go", buildArguments()...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// buildArguments builds with the race detector, but for benchmarks.
func buildArguments() []string {
	flag.Parse()
	arguments := []string{"build", "-o", command}
	if flag.Lookup("test.bench").Value.String() == "" {
		arguments = append(arguments, "-race")
	}
	return append(arguments, "../cmd/tamarackhollow")
}

// rig is a small fleet of processes with its stand-ins.
type rig struct {
	t testing.TB
	// number gives the rig IP addresses of its own.
	number int64
	// timeoutMillis is the service's, in milliseconds.
	timeoutMillis int
	dir           string
	platform      *thstand.Platform
	address       string
	targets       []*thstand.Target
	// targetLinks lead to the targets in a linked rig.
	targetLinks []*thstand.Link
	vms         []*vm
}

// vm is one serve process. Its peers reach it through a link.
type vm struct {
	id       string
	ip       string
	process  *exec.Cmd
	settings string
	// link is where its peers reach it, store how it reaches the platform.
	link     *thstand.Link
	store    *thstand.Link
	callers  string
	operator string
	metrics  string
	log      *syncBuffer
	stopped  bool
}

// syncBuffer keeps a process's log.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// rigs counts the rigs of this run.
var rigs atomic.Int64

// newRig starts the platform, the targets and the VMs, and waits until the
// VMs know each other.
func newRig(tb testing.TB, vms, targets int) *rig {
	tb.Helper()
	if p, ok := tb.(*testing.T); ok {
		p.Parallel()
	}
	r := &rig{t: tb, number: rigs.Add(1), timeoutMillis: 3000, dir: tb.TempDir(), platform: &thstand.Platform{}}
	l := listen(tb, "127.0.0.1")
	r.address = l.Addr().String()
	r.platform.Start(l, platformCredential)
	tb.Cleanup(r.platform.Close)
	for i := range targets {
		target := thstand.StartTarget(listen(tb, "127.0.0.1"), thstand.TargetBehaviour{}, uint64(i+1))
		r.targets = append(r.targets, target)
		tb.Cleanup(target.Close)
	}
	for i := range vms {
		r.addVM(i)
	}
	tb.Cleanup(r.close)
	for _, v := range r.vms {
		r.startVM(v)
	}
	r.awaitRoster()
	return r
}

// awaitRoster waits until every VM stands in the roster as every VM knows it.
// A fault before that would meet a smaller fleet, whose majority may be gone.
func (r *rig) awaitRoster() {
	r.t.Helper()
	for _, v := range r.vms {
		r.eventually(v.id+" knows all VMs", func() bool {
			s, err := r.operator(v).Status(context.Background())
			return err == nil && s.Ready && s.RosterSize == len(r.vms)
		})
	}
}

// newLinkedRig is newRig with a link in front of each target.
func newLinkedRig(tb testing.TB, vms, targets int) *rig {
	tb.Helper()
	r := newRig(tb, vms, targets)
	for _, target := range r.targets {
		l := thstand.NewLink(listen(tb, "127.0.0.1"), target.Address())
		r.targetLinks = append(r.targetLinks, l)
		tb.Cleanup(l.Close)
	}
	return r
}

// targetAddress is where the VMs reach a target.
func (r *rig) targetAddress(i int) string {
	if i < len(r.targetLinks) {
		return r.targetLinks[i].Address()
	}
	return r.targets[i].Address()
}

func listen(tb testing.TB, ip string) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(tb, err)
	return l
}

// reserve returns addresses that were free a moment ago, each another one.
func reserve(tb testing.TB, ip string, n int) []string {
	tb.Helper()
	addresses := make([]string, n)
	for i := range addresses {
		l := listen(tb, ip)
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses
}

// addVM prepares a VM with an IP address of its own, so that links can tell
// their sources apart.
func (r *rig) addVM(i int) *vm {
	r.t.Helper()
	v := &vm{id: fmt.Sprintf("vm%d", i+1), ip: fmt.Sprintf("127.0.%d.%d", r.number, i+1), log: &syncBuffer{}}
	free := reserve(r.t, v.ip, 4)
	v.callers, v.operator, v.metrics = free[0], free[1], free[2]
	inner := free[3]
	v.link = thstand.NewLink(listen(r.t, "127.0.0.1"), inner)
	r.t.Cleanup(v.link.Close)
	v.store = thstand.NewLink(listen(r.t, "127.0.0.1"), r.address)
	r.t.Cleanup(v.store.Close)
	var seeds []string
	for _, o := range r.vms {
		seeds = append(seeds, o.link.Address())
	}
	v.settings = filepath.Join(r.dir, v.id+".toml")
	text := fmt.Sprintf(settingsFormat, v.id, v.ip, string(rune('a'+i%3)), v.callers, inner, v.link.Address(), v.operator, v.metrics,
		v.store.Address(), platformCredential, peerCredential, quoted(seeds), operatorCredential)
	assert.NilError(r.t, os.WriteFile(v.settings, []byte(text), 0o600))
	r.vms = append(r.vms, v)
	return v
}

func quoted(seeds []string) string {
	if len(seeds) == 0 {
		return ""
	}
	return `"` + strings.Join(seeds, `", "`) + `"`
}

func (r *rig) startVM(v *vm) {
	r.t.Helper()
	v.process = exec.Command(command, "serve", "--settings", v.settings)
	v.process.Stderr = v.log
	v.process.Stdout = v.log
	v.stopped = false
	assert.NilError(r.t, v.process.Start())
}

func (r *rig) close() {
	for _, v := range r.vms {
		if v.process != nil && !v.stopped {
			_ = v.process.Process.Signal(syscall.SIGCONT)
			if r.t.Failed() {
				// Its goroutines go to its log.
				_ = v.process.Process.Signal(syscall.SIGQUIT)
				time.Sleep(dumpTime)
			}
			_ = v.process.Process.Kill()
			_ = v.process.Wait()
		}
		assert.Check(r.t, !strings.Contains(v.log.String(), "DATA RACE"), "data race in %s", v.id)
		if r.t.Failed() {
			r.t.Logf("log of %s:\n%s", v.id, v.log.String())
		}
	}
}

// kill ends a VM at once.
func (r *rig) kill(v *vm) {
	assert.NilError(r.t, v.process.Process.Kill())
	_ = v.process.Wait()
	v.stopped = true
}

// terminate asks a VM to stop and waits until it has.
func (r *rig) terminate(v *vm) error {
	assert.NilError(r.t, v.process.Process.Signal(syscall.SIGTERM))
	v.stopped = true
	return v.process.Wait()
}

func (r *rig) freeze(v *vm) { assert.NilError(r.t, v.process.Process.Signal(syscall.SIGSTOP)) }

func (r *rig) thaw(v *vm) { assert.NilError(r.t, v.process.Process.Signal(syscall.SIGCONT)) }

// isolate cuts everything that the VM could hear: the store's answers, its
// peers' answers and its peers' questions.
func (r *rig) isolate(v *vm) {
	v.store.Cut(thstand.Cuts{Backward: true})
	v.link.Cut(thstand.Cuts{Forward: true})
	for _, o := range r.vms {
		if o != v {
			o.link.Cut(thstand.Cuts{Backward: true, Sources: []string{v.ip}})
		}
	}
}

// heal lets everything through again.
func (r *rig) heal() {
	for _, v := range r.vms {
		v.store.Cut(thstand.Cuts{})
		v.link.Cut(thstand.Cuts{})
	}
}

// operator returns a client of a VM's operator side.
func (r *rig) operator(v *vm) *thoperator.Client {
	return thoperator.NewClient(thwire.NewClient(thwire.Identity{Credential: operatorCredential, From: "e2e"}), v.operator)
}

// eventually waits until the condition holds.
func (r *rig) eventually(what string, f func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(patience)
	for !f() {
		if time.Now().After(deadline) {
			r.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(step)
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	kind    string
	outcome string
	body    string
	err     error
}

// request is what a caller sends.
type request struct {
	method, path, key, order, body string
}

// call sends one request to a VM on a connection of the client's choice.
func call(c *http.Client, v *vm, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if q.method == "" {
		q.method = http.MethodGet
	}
	h, err := http.NewRequestWithContext(ctx, q.method, "http://"+v.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	if q.key != "" {
		h.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.order != "" {
		h.Header.Set("Idempotency-Key", q.order)
	}
	a, err := c.Do(h)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	return answer{
		status: a.StatusCode, kind: a.Header.Get("Tamarack-Error"), outcome: a.Header.Get("Tamarack-Outcome"),
		body: string(data), err: err,
	}
}

// slots is how many requests a target of the rig runs at once.
const slots = 16

// deployment is one service on all the rig's targets, with an open route.
func (r *rig) deployment() thconfig.Deployment {
	s := thconfig.Service{Name: "inventory", Slots: slots, Connections: 300, Floor: 0.5, TimeoutMillis: r.timeoutMillis}
	for i := range r.targets {
		s.Targets = append(s.Targets, thconfig.Target{Address: r.targetAddress(i), Zone: string(rune('a' + i%3))})
	}
	return thconfig.Deployment{
		Name:     "cordial",
		Services: []thconfig.Service{s},
		Routes: []thconfig.Route{
			{Name: "stock", Prefix: "/stock", Service: "inventory"},
			{Name: "prices", Prefix: "/prices", Service: "inventory", Open: true},
		},
	}
}

const settingsFormat = `
[vm]
id = %q
address = %q
zone = %q

[listen]
callers = %q
peers = %q
peersAdvertised = %q
operators = %q
metrics = %q

[platform]
address = %q
credential = %q

[peers]
credential = %q
seeds = [%s]

[operators]
credential = %q

[drain]
noticeMillis = 300
`
