package throster

import (
	"encoding/json"

	"tamarackhollow/core/therror"
)

// wireRoster is a Roster in JSON.
type wireRoster struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// MarshalJSON writes the version and the VMs.
func (r Roster) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRoster{Version: r.version, VMs: r.vms})
}

// UnmarshalJSON reads a roster and fails with MessageMalformed if a VM has no
// ID or stands twice.
func (r *Roster) UnmarshalJSON(data []byte) error {
	var w wireRoster
	if err := json.Unmarshal(data, &w); err != nil {
		return therror.Wrap(therror.MessageMalformed, err, "roster")
	}
	n := NewRoster(w.Version, w.VMs)
	for i, v := range n.vms {
		if v.ID == "" || i > 0 && n.vms[i-1].ID == v.ID {
			return therror.New(therror.MessageMalformed, "roster: VM %q has no ID or stands twice", v.ID)
		}
	}
	*r = n
	return nil
}
