package thagree

import (
	"context"
	"encoding/json"
	"fmt"

	"tamarackhollow/core/thconfig"
	"tamarackhollow/core/therror"
	"tamarackhollow/core/throster"
	"tamarackhollow/core/thstore"
)

// The rows and objects of the configuration.
const (
	rowHead       = "config/head"
	rowSnapshot   = "config/snapshot"
	prefixChange  = "config/change/"
	prefixID      = "config/id/"
	prefixJoin    = "roster/join/"
	objectPrefix  = "config/snapshot/"
	recordsAtOnce = 200

	// snapshotObjects is how many objects the snapshots take turns in, so that
	// a reader of the one before is not overtaken.
	snapshotObjects = 4
	// keptChanges is how many changes stay in the table behind a snapshot. A
	// change id can be read back for as long.
	keptChanges = 10000
)

// headRow is the last version and its digest.
type headRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// idRow says which version a change id became.
type idRow struct {
	Version uint64 `json:"version"`
}

// snapshotRow names the newest snapshot object.
type snapshotRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Object  string `json:"object"`
}

// chain is the stored chain of changes.
type chain struct{ platform thstore.Platform }

// head is the stored head with the row's version, which the next append
// requires.
type head struct {
	headRow
	row uint64
}

func (c chain) head(ctx context.Context) (head, error) {
	var h head
	row, err := readRow(ctx, c.platform, rowHead, &h.headRow)
	h.row = row
	return h, err
}

// recordOf returns the record that the change id became, or nil.
func (c chain) recordOf(ctx context.Context, changeID string) (*thconfig.Record, error) {
	var id idRow
	row, err := readRow(ctx, c.platform, prefixID+changeID, &id)
	if err != nil || row == 0 {
		return nil, err
	}
	var r thconfig.Record
	row, err = readRow(ctx, c.platform, changeKey(id.Version), &r)
	if err == nil && row == 0 {
		err = therror.New(therror.StoreUnavailable, "the store lacks change %d", id.Version)
	}
	return &r, err
}

// records returns some of the changes after the version, in order.
func (c chain) records(ctx context.Context, after uint64) ([]thconfig.Record, error) {
	rows, err := c.platform.ScanRows(ctx, prefixChange, changeKey(after), recordsAtOnce)
	if err != nil {
		return nil, err
	}
	rs := make([]thconfig.Record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &rs[i]); err != nil {
			return nil, therror.Wrap(therror.MessageMalformed, err, "row %s", row.Key)
		}
	}
	return rs, nil
}

// append stores the record right after the head, along with other writes.
func (c chain) append(ctx context.Context, h head, r thconfig.Record, also []thstore.Write) error {
	change, err := json.Marshal(r)
	if err != nil {
		return err
	}
	next, _ := json.Marshal(headRow{Version: r.Version, Digest: r.Digest})
	id, _ := json.Marshal(idRow{Version: r.Version})
	return c.platform.Commit(ctx, thstore.Transaction{
		Conditions: []thstore.Condition{{Key: rowHead, Version: h.row}, {Key: prefixID + r.ChangeID}},
		Writes: append([]thstore.Write{
			{Key: rowHead, Value: next},
			{Key: changeKey(r.Version), Value: change},
			{Key: prefixID + r.ChangeID, Value: id},
		}, also...),
	})
}

// askToJoin stores that the VM wants to join, for whoever joins next to take
// it along.
func (c chain) askToJoin(ctx context.Context, v throster.VM) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.platform.Commit(ctx, thstore.Transaction{Writes: []thstore.Write{{Key: prefixJoin + v.ID, Value: value}}})
}

// joining returns the VMs that want to join and the writes that take back what
// they asked.
func (c chain) joining(ctx context.Context) ([]throster.VM, []thstore.Write, error) {
	rows, err := c.platform.ScanRows(ctx, prefixJoin, "", recordsAtOnce)
	if err != nil {
		return nil, nil, err
	}
	vms := make([]throster.VM, len(rows))
	deletes := make([]thstore.Write, len(rows))
	for i, row := range rows {
		deletes[i] = thstore.Write{Key: row.Key, Delete: true}
		if err := json.Unmarshal(row.Value, &vms[i]); err != nil {
			return nil, nil, therror.Wrap(therror.MessageMalformed, err, "row %s", row.Key)
		}
	}
	return vms, deletes, nil
}

// snapshot returns the newest stored snapshot, or the empty configuration.
func (c chain) snapshot(ctx context.Context) (thconfig.Config, error) {
	var s snapshotRow
	row, err := readRow(ctx, c.platform, rowSnapshot, &s)
	if err != nil || row == 0 {
		return thconfig.Config{}, err
	}
	data, err := c.platform.GetObject(ctx, s.Object)
	if err != nil {
		return thconfig.Config{}, err
	}
	var n thconfig.Config
	if err := json.Unmarshal(data, &n); err != nil {
		return thconfig.Config{}, err
	}
	if n.Version() != s.Version || n.Digest() != s.Digest {
		return thconfig.Config{}, therror.New(therror.MessageStale, "snapshot %s is of version %d", s.Object, n.Version())
	}
	return n, nil
}

// putSnapshot stores a snapshot unless there is a newer one.
func (c chain) putSnapshot(ctx context.Context, n thconfig.Config) error {
	var s snapshotRow
	row, err := readRow(ctx, c.platform, rowSnapshot, &s)
	if err != nil || s.Version >= n.Version() {
		return err
	}
	data, err := json.Marshal(n)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%d", objectPrefix, n.Version()/snapshotEvery%snapshotObjects)
	if err := c.platform.PutObject(ctx, name, data); err != nil {
		return err
	}
	value, _ := json.Marshal(snapshotRow{Version: n.Version(), Digest: n.Digest(), Object: name})
	return c.platform.Commit(ctx, thstore.Transaction{
		Conditions: []thstore.Condition{{Key: rowSnapshot, Version: row}},
		Writes:     []thstore.Write{{Key: rowSnapshot, Value: value}},
	})
}

// prune deletes some of the changes that lie far behind the snapshot.
func (c chain) prune(ctx context.Context, snapshot uint64) error {
	rs, err := c.records(ctx, 0)
	if err != nil {
		return err
	}
	var t thstore.Transaction
	for _, r := range rs {
		if r.Version+keptChanges < snapshot {
			t.Writes = append(t.Writes,
				thstore.Write{Key: changeKey(r.Version), Delete: true},
				thstore.Write{Key: prefixID + r.ChangeID, Delete: true})
		}
	}
	if len(t.Writes) == 0 {
		return nil
	}
	return c.platform.Commit(ctx, t)
}

func changeKey(version uint64) string { return fmt.Sprintf("%s%016d", prefixChange, version) }

// readRow reads a row into v and returns the row's version.
func readRow[V any](ctx context.Context, p thstore.Platform, key string, v *V) (uint64, error) {
	row, err := p.ReadRow(ctx, key)
	if err != nil || row.Version == 0 || len(row.Value) == 0 {
		return row.Version, err
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return row.Version, therror.Wrap(therror.MessageMalformed, err, "row %s", key)
	}
	return row.Version, nil
}
