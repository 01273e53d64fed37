package thconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"tamarackhollow/core/therror"
)

// Change is one operator's change. The set of changes is sealed.
type Change interface{ isChange() }

// PutTemplate sets a template and the new expansions of its deployments.
type PutTemplate struct {
	Template    Template     `json:"template"`
	Deployments []Deployment `json:"deployments,omitempty"`
}

// PutDeployment sets a deployment and, where given, customers along with it.
type PutDeployment struct {
	Deployment Deployment `json:"deployment"`
	Customers  []Customer `json:"customers,omitempty"`
}

// SetCustomer adds a customer or replaces its parameters.
type SetCustomer struct {
	Customer Customer `json:"customer"`
}

// RemoveCustomer removes a customer and withdraws its keys.
type RemoveCustomer struct {
	Name string `json:"name"`
}

// IssueKey adds a key.
type IssueKey struct {
	Key Key `json:"key"`
}

// WithdrawKey removes a key for good; its ID cannot be issued again.
type WithdrawKey struct {
	ID string `json:"id"`
}

// SetTarget adds a target to a service or replaces it, to mark it leaving for example.
type SetTarget struct {
	Service string `json:"service"`
	Target  Target `json:"target"`
}

func (PutTemplate) isChange()    {}
func (PutDeployment) isChange()  {}
func (SetCustomer) isChange()    {}
func (RemoveCustomer) isChange() {}
func (IssueKey) isChange()       {}
func (WithdrawKey) isChange()    {}
func (SetTarget) isChange()      {}

// Record is a change as it is stored and spread.
type Record struct {
	Version uint64
	// ChangeID is the operator's name for the change; applying it twice is one change.
	ChangeID string
	// Digest chains over the digest before and this change.
	Digest string
	Change Change
}

// wireRecord is a Record in JSON: exactly one of the changes is set.
type wireRecord struct {
	Version        uint64          `json:"version"`
	ChangeID       string          `json:"changeId"`
	Digest         string          `json:"digest"`
	PutTemplate    *PutTemplate    `json:"putTemplate,omitempty"`
	PutDeployment  *PutDeployment  `json:"putDeployment,omitempty"`
	SetCustomer    *SetCustomer    `json:"setCustomer,omitempty"`
	RemoveCustomer *RemoveCustomer `json:"removeCustomer,omitempty"`
	IssueKey       *IssueKey       `json:"issueKey,omitempty"`
	WithdrawKey    *WithdrawKey    `json:"withdrawKey,omitempty"`
	SetTarget      *SetTarget      `json:"setTarget,omitempty"`
	ChangeMembers  *ChangeMembers  `json:"changeMembers,omitempty"`
}

// MarshalJSON writes the record with its change under the change's name.
func (r Record) MarshalJSON() ([]byte, error) {
	w := wireRecord{Version: r.Version, ChangeID: r.ChangeID, Digest: r.Digest}
	switch c := r.Change.(type) {
	case PutTemplate:
		w.PutTemplate = &c
	case PutDeployment:
		w.PutDeployment = &c
	case SetCustomer:
		w.SetCustomer = &c
	case RemoveCustomer:
		w.RemoveCustomer = &c
	case IssueKey:
		w.IssueKey = &c
	case WithdrawKey:
		w.WithdrawKey = &c
	case SetTarget:
		w.SetTarget = &c
	case ChangeMembers:
		w.ChangeMembers = &c
	default:
		return nil, therror.New(therror.MessageMalformed, "record %d holds no known change", r.Version)
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads a record and fails with MessageMalformed unless it holds
// exactly one change.
func (r *Record) UnmarshalJSON(data []byte) error {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return therror.Wrap(therror.MessageMalformed, err, "configuration record")
	}
	found := changesOf(w)
	if len(found) != 1 {
		return therror.New(therror.MessageMalformed, "configuration record %d holds %d changes, not one", w.Version, len(found))
	}
	*r = Record{Version: w.Version, ChangeID: w.ChangeID, Digest: w.Digest, Change: found[0]}
	return nil
}

func changesOf(w wireRecord) []Change {
	return slices.Concat(
		given(w.PutTemplate), given(w.PutDeployment), given(w.SetCustomer), given(w.RemoveCustomer),
		given(w.IssueKey), given(w.WithdrawKey), given(w.SetTarget), given(w.ChangeMembers),
	)
}

func given[C Change](c *C) []Change {
	if c == nil {
		return nil
	}
	return []Change{*c}
}

// NextRecord returns the record that puts the change right after c.
func NextRecord(c Config, changeID string, change Change) (Record, error) {
	r := Record{Version: c.Version() + 1, ChangeID: changeID, Change: change}
	digest, err := chainDigest(c.Digest(), r)
	if err != nil {
		return Record{}, err
	}
	r.Digest = digest
	return r, nil
}

func chainDigest(previous string, r Record) (string, error) {
	r.Digest = previous
	data, err := json.Marshal(r)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// SameChange reports whether two changes say the same.
func SameChange(a, b Change) bool {
	x, errX := json.Marshal(Record{Change: a})
	y, errY := json.Marshal(Record{Change: b})
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
