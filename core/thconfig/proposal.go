package thconfig

import "tamarackhollow/core/therror"

// Proposal is a change that is to be stored.
type Proposal struct {
	// ID is the operator's name for the change.
	ID string
	// Precondition is the version that the operator decided on; zero asks for none.
	Precondition uint64
	Change       Change
}

// Next returns the record that stores the proposal right after c, which must
// be read from the store's head. Earlier is the record that the ID has become
// already, read after the head, or nil; Next then returns that one and false.
// It fails with ChangeConflict if another operator's change came first or the
// ID was used for another change, and with ChangeInvalid if the change does
// not check. A failure says that the proposal is not stored and never will be
// by an earlier try of the same proposal, because that try's write requires a
// head that has passed.
func (p Proposal) Next(c Config, earlier *Record) (r Record, store bool, err error) {
	if earlier != nil {
		if p.Change != nil && !SameChange(earlier.Change, p.Change) {
			return Record{}, false, therror.New(therror.ChangeConflict, "change id %s was used for another change, version %d", p.ID, earlier.Version)
		}
		return *earlier, false, nil
	}
	if err := c.CheckPrecondition(p.Precondition); err != nil {
		return Record{}, false, err
	}
	if err := c.Check(p.Change); err != nil {
		return Record{}, false, err
	}
	r, err = NextRecord(c, p.ID, p.Change)
	return r, err == nil, err
}
