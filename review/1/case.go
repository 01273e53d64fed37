//go:build review

// Command case1 stops one of three VMs by SIGTERM while callers pipeline safe requests on
// kept connections, and checks that no request that was passed on is cut off.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"tamarackhollow/review/stand"
)

const (
	key      = "ctnfzs989anu6wsjnban"
	path     = "/lepu270/2f"
	deadline = 8 * time.Second
	// interval is the time between two requests of a caller.
	interval = 125 * time.Millisecond
	// callersOfFirst and callersOfOthers are the numbers of callers of the VM that is to be
	// stopped and of each other one.
	callersOfFirst, callersOfOthers = 4, 1
	// meanWork and workSpread are those of the site's lookups, and maxWork is their longest.
	meanWork, workSpread, maxWork = 610.0, 0.8, 4500.0
	warmUp                        = 4 * time.Second
	// tail is how long the callers go on after the signal.
	tail = 9 * time.Second
	// laterThanS is the time after the signal up to which the rule excuses a request whose
	// target is at work in the last sixth of the grace period.
	laterThan = 3 * time.Second
	// judgedUntil is the end of the planned work.
	judgedUntil = (stand.GraceS + 1) * time.Second
)

// sent is a request of a caller, and how it ended.
type sent struct {
	id, vm    string
	at        time.Time
	answer    stand.Answer
	answered  bool
	cutAt     time.Time
	cutReason error
}

// client is a caller that sends its requests at a steady pace.
type client struct {
	name   string
	vms    []*stand.VM
	record *stand.Record
	until  time.Time

	mu   sync.Mutex
	sent []*sent
	next int
}

func (c *client) newRequest(vm *stand.VM) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	s := &sent{id: fmt.Sprintf("%s-%04d", c.name, c.next), vm: vm.ID, at: time.Now()}
	c.sent = append(c.sent, s)
	return s
}

// run uses the first VM; when its connection ends, it goes on at the next one.
func (c *client) run() {
	for i := 0; time.Now().Before(c.until); i++ {
		vm := c.vms[i%len(c.vms)]
		nc, err := stand.Connect(vm.Callers)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.use(nc, vm)
	}
}

// errClosing ends the requests behind an answer that announces the end of the connection;
// they count as not read.
var errClosing = errors.New("sent behind an answer that closes the connection")

// use sends a request every interval, whether those before are answered or not, until the
// connection ends.
func (c *client) use(nc net.Conn, vm *stand.VM) {
	defer func() { _ = nc.Close() }()
	var mu sync.Mutex
	var outstanding []*sent
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for time.Now().Before(c.until) {
			s := c.newRequest(vm)
			mu.Lock()
			outstanding = append(outstanding, s)
			mu.Unlock()
			if _, err := nc.Write(stand.RequestHead(http.MethodGet, path, s.id, key, deadline, 0)); err != nil {
				return // the reader notices as well
			}
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
		}
	}()
	defer close(ended)
	br := bufio.NewReader(nc)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(deadline))
		a, err := stand.ReadAnswer(br)
		mu.Lock()
		if err == nil && len(outstanding) > 0 {
			outstanding[0].answer, outstanding[0].answered = a, true
			outstanding = outstanding[1:]
		}
		if err == nil && a.Closes {
			err = errClosing
		}
		done := err == nil && len(outstanding) == 0 && !time.Now().Before(c.until)
		if err != nil {
			for _, s := range outstanding {
				s.cutAt, s.cutReason = time.Now(), err
			}
		}
		mu.Unlock()
		if err != nil || done {
			return
		}
	}
}

// work draws how long a target works on a request.
func work() time.Duration {
	median := meanWork * math.Exp(-workSpread*workSpread/2)
	return time.Duration(min(maxWork, median*math.Exp(workSpread*rand.NormFloat64())) * float64(time.Millisecond))
}

func main() { os.Exit(run()) }

func run() int {
	record, err := stand.OpenRecord("review/1")
	if err != nil {
		fmt.Println(err)
		return stand.ExitNoRun
	}
	ip := stand.IPPrefix() + "100"
	store, err := stand.StartStore(ip)
	if err != nil {
		fmt.Println(err)
		return stand.ExitNoRun
	}
	runs := &stand.Runs{}
	zones := []string{"aberteifi", "llandysul", "aberaeron"}
	for i := range 9 {
		_, err := stand.StartTarget(stand.TargetOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "die-catalogue", Zone: zones[i%3], IP: ip, Slots: 6, Runs: runs, Store: store,
			Behave: func(*http.Request) stand.Reply {
				return stand.Reply{Work: work(), BodyBytes: 5000}
			},
		})
		if err != nil {
			fmt.Println(err)
			return stand.ExitNoRun
		}
	}
	stand.PutConfig(store, 1, []stand.Route{{Name: "r-lookup", Prefix: "/lepu270/", Kind: "safe", Service: "die-catalogue", TimeoutS: 8, ObjectiveS: 2, MaxAttempts: 2}},
		[]stand.Tenant{{Name: "sese880", Key: key}})
	fleet, err := stand.StartFleet(store, record, zones...)
	if fleet != nil {
		defer fleet.Close()
	}
	if err != nil {
		fmt.Println(err)
		return stand.ExitNoRun
	}
	until := time.Now().Add(warmUp + tail)
	var clients []*client
	var all sync.WaitGroup
	for i, vm := range fleet.VMs {
		callers := callersOfOthers
		if i == 0 {
			callers = callersOfFirst
		}
		for j := range callers {
			c := &client{name: fmt.Sprintf("c%d%d", i+1, j+1), vms: append([]*stand.VM{vm}, fleet.VMs[(i+1)%3], fleet.VMs[(i+2)%3]), record: record, until: until}
			clients = append(clients, c)
			all.Go(c.run)
		}
	}
	time.Sleep(warmUp)
	stopped := fleet.VMs[0]
	signalled := time.Now()
	if stand.HasTrouble() {
		all.Go(stopped.Terminate)
	}
	all.Wait()
	return judge(record, clients, runs, stopped.ID, signalled)
}

// judge counts the requests of the stopped VM that were passed on and not answered.
func judge(record *stand.Record, clients []*client, runs *stand.Runs, stopped string, signalled time.Time) int {
	ran := runs.ByID()
	broken, answered, excused, notPassedOn := 0, 0, 0, 0
	for _, c := range clients {
		for _, s := range c.sent {
			record.AddAt(s.at, "%s to %s: answered %t status %d stamped %t, runs %d, cut: %v", s.id, s.vm, s.answered, s.answer.Status, s.answer.Stamped, len(ran[s.id]), s.cutReason)
			switch {
			case s.answered:
				answered++
			case len(ran[s.id]) == 0:
				notPassedOn++
			case errors.Is(s.cutReason, errClosing) || s.vm != stopped || s.at.After(signalled.Add(judgedUntil)) || s.cutAt.Sub(s.at) >= deadline:
				excused++
			case s.at.Sub(signalled) <= laterThan:
				excused++
			default:
				broken++
				record.AddAt(s.cutAt, "LOST %s: sent %.2f s after SIGTERM, run by %s, cut %.2f s after SIGTERM", s.id, s.at.Sub(signalled).Seconds(), ran[s.id][0].Target, s.cutAt.Sub(signalled).Seconds())
			}
		}
	}
	summary := fmt.Sprintf("answered %d, not passed on %d, excused %d, lost %d", answered, notPassedOn, excused, broken)
	record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case answered == 0:
		return stand.ExitNoRun
	case broken > 0:
		return stand.ExitBroken
	}
	return stand.ExitHeld
}
