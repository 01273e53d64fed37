package thclaims_test

import (
	"context"
	"math/rand/v2"
	"sync"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thstore"
)

// fakeStore is a table service that may be down or lose its answers.
type fakeStore struct {
	thstore.Platform

	mu     sync.Mutex
	store  thstore.Memory
	random *rand.Rand
	down   bool
	// loseAnswers is the share of writes whose answer is lost after they took
	// effect, and loseWrites of those lost before.
	loseAnswers, loseWrites float64
	commits, writes, reads  int
	conflicts               int
	// before is called, without the lock, before each commit, which is refused
	// if it returns false.
	before func() bool
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) ReadRow(_ context.Context, key string) (thstore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return thstore.Row{}, therror.New(therror.StoreUnavailable, "down")
	}
	s.reads++
	return s.store.Row(key), nil
}

func (s *fakeStore) ScanRows(_ context.Context, prefix, after string, limit int) ([]thstore.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, therror.New(therror.StoreUnavailable, "down")
	}
	s.reads++
	return s.store.Rows(prefix, after, limit), nil
}

func (s *fakeStore) Commit(_ context.Context, t thstore.Transaction) error {
	s.mu.Lock()
	before := s.before
	s.mu.Unlock()
	if before != nil && !before() {
		return therror.New(therror.StoreUnavailable, "too many wait")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return therror.New(therror.StoreUnavailable, "down")
	}
	if s.random.Float64() < s.loseWrites {
		return therror.New(therror.StoreOutcomeUnknown, "lost before")
	}
	s.commits++
	if err := s.store.Commit(t); err != nil {
		s.conflicts++
		return err
	}
	s.writes += len(t.Writes)
	if s.random.Float64() < s.loseAnswers {
		return therror.New(therror.StoreOutcomeUnknown, "lost after")
	}
	return nil
}

func (s *fakeStore) PutObject(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return therror.New(therror.StoreUnavailable, "down")
	}
	s.store.Put(name, data)
	return nil
}

func (s *fakeStore) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, therror.New(therror.StoreUnavailable, "down")
	}
	return s.store.Get(name)
}
