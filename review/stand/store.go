//go:build review

// Package stand holds the stand-ins that the cases of the review run the fleet against:
// the platform's store, targets, callers, and the platform's part of starting and
// stopping the processes.
package stand

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxRows is the number of rows in one answer of the store.
const maxRows = 500

// Row is a row of the store, as JSON.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is a linearizable stand-in of the platform's store.
type Store struct {
	Address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]Row
	log     []Row
	changed chan struct{}
}

// StartStore starts a store on a free port of the IP address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), started: time.Now(), rows: map[rowKey]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("POST /rows-tx", s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// Put writes a row as the operator or a target does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data), Ver: s.version})
}

// Delete removes a row as the operator or a target does.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Ver: s.version, Deleted: true})
}

// apply records a change. s.mu must be held.
func (s *Store) apply(r Row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Ver     uint64  `json:"ver"`
	NowS    float64 `json:"nowS"`
}

func (s *Store) write(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) now() float64 { return time.Since(s.started).Seconds() }

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	found := []Row{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("startKey") &&
			(q.Get("target") == "" || row.Key < q.Get("target")) {
			found = append(found, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	s.write(w, http.StatusOK, rowsAnswer{Rows: found[:min(limit, len(found))], HasMore: len(found) > limit, Ver: version, NowS: s.now()})
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	parts := []string{}
	for _, row := range s.rows {
		if row.Table == r.URL.Query().Get("table") && !slices.Contains(parts, row.Part) {
			parts = append(parts, row.Part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	s.write(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false, "ver": s.version, "nowS": s.now()})
}

// changedRows returns the newest state of each row of the table that changed after the
// version, in the order of the changes. s.mu must be held.
func (s *Store) changedRows(table string, after uint64) []Row {
	rows := []Row{}
	seen := map[rowKey]bool{}
	for _, r := range slices.Backward(s.log) {
		if r.Ver <= after {
			break
		}
		if r.Table == table && !seen[r.id()] {
			seen[r.id()] = true
			rows = append(rows, r)
		}
	}
	slices.Reverse(rows)
	return rows
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs")) // left out: don't wait
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.changedRows(q.Get("table"), after), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			s.write(w, http.StatusOK, rowsAnswer{Rows: rows, Ver: version, NowS: s.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expect  []Row `json:"expect"`
	ModRev  []Row `json:"modRev"`
	Deletes []Row `json:"deletes"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(t.ModRev, t.Deletes) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []Row{}
	for _, row := range t.Expect {
		if s.rows[row.id()].Ver != row.Ver {
			current = append(current, s.rows[row.id()])
		}
	}
	if len(current) > 0 {
		s.write(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, Ver: s.version, NowS: s.now()})
		return
	}
	s.version++
	for _, row := range t.ModRev {
		row.Ver = s.version
		s.apply(row)
	}
	for _, row := range t.Deletes {
		row.Ver, row.Deleted, row.Value = s.version, true, ""
		s.apply(row)
	}
	s.write(w, http.StatusOK, map[string]any{"ver": s.version, "nowS": s.now()})
}
