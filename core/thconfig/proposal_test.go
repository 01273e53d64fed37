package thconfig_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
)

// table is a naive store: the chain itself. A write holds if the head has not
// moved since it was made, whenever it arrives.
type table struct {
	configs []thconfig.Config
	records []thconfig.Record
}

func (s *table) head() thconfig.Config { return s.configs[len(s.configs)-1] }

func (s *table) find(id string) *thconfig.Record {
	for i := range s.records {
		if s.records[i].ChangeID == id {
			return &s.records[i]
		}
	}
	return nil
}

func (s *table) write(t *rapid.T, r thconfig.Record) {
	if r.Version != s.head().Version()+1 || s.find(r.ChangeID) != nil {
		return
	}
	c, err := s.head().WithRecord(r)
	assert.NilError(t, err)
	s.configs, s.records = append(s.configs, c), append(s.records, r)
}

// TestProposalsRaceWithLateWrites has operators race, with writes that arrive
// late, twice or never, and answers that get lost. What an operator was told
// must stay true.
func TestProposalsRaceWithLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &table{configs: []thconfig.Config{{}}}
		var late []thconfig.Record
		stored, refused := map[string]uint64{}, map[string]bool{}
		proposals := map[string]thconfig.Proposal{}
		for range 60 {
			if len(late) > 0 && rapid.Bool().Draw(t, "arrives") {
				s.write(t, rapid.SampledFrom(late).Draw(t, "late"))
				continue
			}
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			p, again := proposals[id]
			if !again {
				p = thconfig.Proposal{ID: id, Change: thconfig.PutTemplate{Template: thconfig.Template{Name: "t" + id}}}
				p.Precondition = uint64(rapid.IntRange(0, len(s.records)).Draw(t, "precondition"))
				proposals[id] = p
			}
			r, isNew, err := p.Next(s.head(), s.find(id))
			switch {
			case err != nil:
				assert.Assert(t, therror.Is(err, therror.ChangeConflict), "%v", err)
				refused[id] = true
			case isNew:
				late = append(late, r)
			default:
				assert.Assert(t, stored[id] == 0 || stored[id] == r.Version)
				stored[id] = r.Version
			}
			for id := range refused {
				assert.Assert(t, s.find(id) == nil, "%s was refused and is stored", id)
			}
		}
		for id, v := range stored {
			assert.Equal(t, s.find(id).Version, v)
		}
		for _, r := range s.records {
			p := proposals[r.ChangeID].Precondition
			assert.Assert(t, p == 0 || p == r.Version-1, "%s asked for version %d and stands at %d", r.ChangeID, p, r.Version)
		}
	})
}

func TestRefusedChangeNamesPlaceAndReason(t *testing.T) {
	c, _ := filled(t)
	for _, x := range []struct {
		change thconfig.Change
		text   string
	}{
		{thconfig.SetCustomer{Customer: thconfig.Customer{Name: "u", Rate: -1, Burst: 1, Deployment: "cordial"}}, "customer u: rate -1"},
		{thconfig.SetCustomer{Customer: thconfig.Customer{Name: "u", Rate: 1, Burst: 0, Deployment: "cordial"}}, "customer u: burst 0"},
		{thconfig.SetCustomer{Customer: thconfig.Customer{Name: "u", Rate: 1, Burst: 1, Deployment: "none"}}, `customer u: no deployment "none"`},
		{thconfig.SetTarget{Service: "inventory", Target: thconfig.Target{Address: "nowhere"}}, `target "nowhere" must be IP:port`},
		{thconfig.WithdrawKey{ID: "k9"}, "key k9: no such key"},
		{thconfig.RemoveCustomer{Name: "u"}, "customer u: no such customer"},
		{thconfig.ChangeMembers{}, "names no VM"},
	} {
		err := c.Check(x.change)
		assert.Assert(t, therror.Is(err, therror.ChangeInvalid), "%v", err)
		assert.ErrorContains(t, err, x.text)
	}
}
