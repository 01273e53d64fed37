//go:build review

package kit2

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as its calls show it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a stand-in of the platform's store: rows in tables, and a feed of their changes.
type Store struct {
	Address string

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]row
	history []row
	changed chan struct{}
	started time.Time
	server  *http.Server
	down    bool
}

// NewStore starts a store at the address.
func NewStore(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Address: address, rows: make(map[string]map[string]row), changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", s.get)
	mux.HandleFunc("/rows-feed", s.feed)
	mux.HandleFunc("/rows-tx", s.transact)
	mux.HandleFunc("/rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		s.reply(w, 200, map[string]any{"parts": []string{""}, "hasMore": false})
	})
	s.server = &http.Server{Handler: s.gate(mux)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// gate answers 503 while the store is down.
func (s *Store) gate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// SetDown makes the store answer 503 to all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a row with an empty part.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
	s.announce()
}

// Delete drops a row with an empty part, if it is there.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[table][key]; !ok {
		return
	}
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
	s.announce()
}

// set records a change at the current version. s.mu must be held.
func (s *Store) set(r row) {
	r.Version = s.version
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = make(map[string]row)
	}
	if r.Deleted {
		delete(s.rows[r.Table], r.Key)
	} else {
		s.rows[r.Table][r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) now() float64 { return time.Since(s.started).Seconds() }

func (s *Store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowS"] = s.now()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for key, v := range s.rows[q.Get("table")] {
		if key >= q.Get("startKey") && v.Part == q.Get("part") {
			found = append(found, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	hasMore := len(found) > limit
	s.reply(w, 200, map[string]any{"rows": found[:min(limit, len(found))], "hasMore": hasMore, "ver": version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			s.reply(w, http.StatusGone, map[string]any{})
			return
		}
		latest := make(map[string]row)
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				latest[c.Key] = c
			}
		}
		found := []row{}
		for _, c := range latest {
			found = append(found, c)
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
		if len(found) > 0 {
			s.reply(w, 200, map[string]any{"rows": found, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-until:
			s.reply(w, 200, map[string]any{"rows": found, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expect, ModRev, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	for _, c := range append(append([]row{}, t.ModRev...), t.Deletes...) {
		if c.Table == "op" || c.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range t.Expect {
		if s.rows[e.Table][e.Key].Version != e.Version {
			current := []row{s.rows[e.Table][e.Key]}
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
			return
		}
	}
	s.version++
	for _, c := range t.ModRev {
		s.set(row{Table: c.Table, Part: c.Part, Key: c.Key, Value: c.Value})
	}
	for _, c := range t.Deletes {
		s.set(row{Table: c.Table, Part: c.Part, Key: c.Key, Deleted: true})
	}
	version := s.version
	s.announce()
	s.mu.Unlock()
	s.reply(w, 200, map[string]any{"ver": version})
}

// StartStore starts a store at a free address.
func StartStore(n Net) (*Store, error) {
	ports, err := FreePorts(n.IP(9, 1), 1)
	if err != nil {
		return nil, err
	}
	return NewStore(fmt.Sprintf("%s:%d", n.IP(9, 1), ports[0]))
}
