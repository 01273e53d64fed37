//go:build review

// Command case shows whether a request that crashes upstreams stays refused while the machines
// are stopped and started in turn.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"tamarackhollow/review/kit2"
)

const (
	contact = 3 * time.Second
	grace   = 6 * time.Second
	// downFor is how long an upstream that crashed is away ("back after some seconds").
	downFor = 3 * time.Second
	// again is how often the request that crashes upstreams comes again.
	again = 1500 * time.Millisecond
	// maxRetries is what the rule allows.
	maxRetries = 3
	zones      = 3
	perZone    = 2
	upstreams  = 9
	poisonBody = `{"seal":"ox-head","copies":-1}`
	key        = "ctnfzs989anu6wsjnban"
	// gap is the pause of the rolling restart.
	gap = 1300 * time.Millisecond
)

type crashes struct {
	mu      sync.Mutex
	at      []time.Time
	arrived []arrival
}

// arrival is a run of the request that crashes upstreams.
type arrival struct {
	id string
	at time.Time
}

func (c *crashes) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.arrived = append(c.arrived, arrival{id, time.Now()})
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	repo, err := os.Getwd()
	if err != nil {
		return 2, err
	}
	record, err := kit2.NewRecord(filepath.Join(repo, "review/8"))
	if err != nil {
		return 2, err
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review-8-")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(folder) }()

	n := kit2.NewNet()
	store, err := kit2.StartStore(n)
	if err != nil {
		return 2, err
	}
	defer store.Close()
	store.PutConfig(7, []kit2.Route{
		{Name: "r-order", Prefix: "/orders/", Kind: "unsafe", Service: "order-book", TimeoutS: 6, TargetLatencyS: 2, MaxAttempts: 2},
		{Name: "r-look", Prefix: "/dies/", Kind: "safe", Service: "order-book", TimeoutS: 8, TargetLatencyS: 2, MaxAttempts: 2},
	}, []string{"order-book"}, []kit2.Tenant{{Name: "guild", Key: key, RatePerS: 200, Burst: 200}})

	var poison crashes
	zoneNames := []string{"aberteifi", "llandysul", "aberaeron"}
	handle := func(u *kit2.Upstream, r *kit2.Run) kit2.Reply {
		if string(r.Body) == poisonBody {
			poison.add(r.ID)
			return kit2.Reply{Crash: true}
		}
		time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
		return kit2.Reply{Body: "done " + r.ID}
	}
	var ups []*kit2.Upstream
	upPort, err := kit2.FreePorts(n.IP(2, 1), 1)
	if err != nil {
		return 2, err
	}
	for i := range upstreams {
		u, err := kit2.NewUpstream(store, record, fmt.Sprintf("i-%d-0", i), "order-book", zoneNames[i%zones], fmt.Sprintf("%s:%d", n.IP(2, 1+i), upPort[0]), 6, handle)
		if err != nil {
			return 2, err
		}
		defer u.Close()
		ups = append(ups, u)
	}
	stopRevival := make(chan struct{})
	var revival sync.WaitGroup
	for i, u := range ups { // a crashed upstream is back after some seconds, as a new incarnation
		revival.Go(func() {
			for start := 1; ; {
				select {
				case <-stopRevival:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if u.IsAlive() {
					continue
				}
				time.Sleep(downFor)
				u.ID = fmt.Sprintf("i-%d-%d", i, start)
				start++
				if err := u.Start(); err != nil {
					record.Printf("upstream %s did not start: %v", u.ID, err)
				}
			}
		})
	}
	defer func() { close(stopRevival); revival.Wait() }()

	fleet, err := kit2.NewFleet(kit2.FleetOptions{
		Net: n, Store: store, Record: record, Folder: folder, Repo: repo, Zones: zoneNames, PerZone: perZone, MemoryMB: 284, Bounds: kit2.DefaultBounds,
	})
	if err != nil {
		return 2, err
	}
	defer fleet.Kill()
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(contact + time.Second)

	// lostOrders counts other clients' orders that were running at an upstream when it crashed.
	var mu sync.Mutex
	lostOrders, served := 0, 0
	isStopping := make(map[*kit2.VM]bool)
	pick := func() *kit2.VM { // as the platform's entry does: a machine that is ready
		for {
			v := fleet.VMs[rand.IntN(len(fleet.VMs))]
			mu.Lock()
			stopping := isStopping[v]
			mu.Unlock()
			if !stopping && v.IsReady() {
				return v
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	done := make(chan struct{})
	var load sync.WaitGroup
	for i := range 8 { // ordinary clients
		load.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
				}
				q := kit2.Request{ID: kit2.NewID(), Method: "POST", URI: fmt.Sprintf("/orders/%d-%d", i, k), Key: key, Body: fmt.Sprintf("order %d %d", i, k), DeadlineMs: 6000}
				if i%2 == 0 {
					q.Method, q.URI, q.Body = "GET", fmt.Sprintf("/dies/%d-%d", i, k), ""
				}
				a := kit2.Send(pick().Front, q)
				mu.Lock()
				if a.Status == 200 {
					served++
				}
				if q.Method == "POST" && (a.Status == 502 || a.Err != nil) {
					lostOrders++
					record.Printf("client: order %s of another client ended with: %v", q.ID, a)
				}
				mu.Unlock()
			}
		})
	}
	finish := func() { close(done); load.Wait() }

	type sent struct {
		id      string
		vm      string
		inTouch bool
	}
	all := make(map[string]sent)
	sendPoison := func() kit2.Answer {
		v := pick()
		q := kit2.Request{ID: kit2.NewID(), Method: "POST", URI: "/orders/ox-head", Key: key, Body: poisonBody, DeadlineMs: 5000}
		mu.Lock()
		inTouch := time.Since(v.StartedAt) > contact
		mu.Unlock()
		record.Printf("client: the request that crashes upstreams comes to %s as %s (in touch: %t)", v.ID, q.ID, inTouch)
		a := kit2.Send(v.Front, q)
		record.Printf("client: %s ended with: %v", q.ID, a)
		all[q.ID] = sent{q.ID, v.ID, inTouch}
		return a
	}

	// The request comes again and again, until it has crashed three upstreams and is refused.
	for refused, until := 0, time.Now().Add(25*time.Second); refused < 3 && time.Now().Before(until); {
		if a := sendPoison(); a.Status == 503 {
			refused++
		} else {
			refused = 0
		}
		time.Sleep(again)
	}
	if poison.count() < 3 {
		finish()
		return 2, fmt.Errorf("the request has crashed %d upstreams only", poison.count())
	}
	record.Printf("the request has crashed %d upstreams and is refused now", poison.count())

	rolled := make(chan error, 1)
	go func() {
		if !trouble {
			rolled <- nil
			return
		}
		for _, v := range fleet.VMs { // stopped and started in turn, once each
			mu.Lock()
			isStopping[v] = true
			mu.Unlock()
			if err := v.Restart(grace); err != nil {
				rolled <- err
				return
			}
			if err := v.AwaitReady(10 * time.Second); err != nil {
				rolled <- err
				return
			}
			mu.Lock()
			isStopping[v] = false
			mu.Unlock()
			time.Sleep(gap)
		}
		rolled <- nil
	}()
	for until := time.Now().Add(50 * time.Second); time.Now().Before(until); time.Sleep(again) {
		sendPoison()
	}
	finish()
	if err := <-rolled; err != nil {
		return 2, err
	}

	poison.mu.Lock()
	defer poison.mu.Unlock()
	third := poison.at[2]
	retries := 0
	for _, a := range poison.arrived {
		if s := all[a.id]; a.at.Sub(third) > contact && s.inTouch {
			retries++
			record.Printf("judge: retry %d after the third crash: %s, sent by %s, in touch, reached an upstream at %.3f", retries, a.id, s.vm, record.Since(a.at))
		}
	}
	record.Printf("judge: %d crashes in all; %d retries by machines in touch later than contactS after the third crash, %d allowed; %d other orders lost; %d requests served",
		len(poison.at), retries, maxRetries, lostOrders, served)
	fmt.Printf("trouble %t: %d crashes, %d retries after the third (allowed: %d), %d orders of others lost, %d served\n", trouble, len(poison.at), retries, maxRetries, lostOrders, served)
	if served < 100 {
		return 2, fmt.Errorf("only %d requests were served", served)
	}
	if retries > maxRetries {
		return 1, nil
	}
	return 0, nil
}
