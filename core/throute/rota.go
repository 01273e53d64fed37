package throute

import (
	"cmp"
	"slices"
)

// Rota shares a bounded amount of judging out over the services that are due,
// so that a fleet full of news costs a VM no more than its share and every
// service still has its turn. It is immutable; the zero Rota begins with the
// first name.
type Rota struct{ after string }

// Turn is a service that is due to be judged.
type Turn struct {
	Name string
	// Targets is how many targets the service has here.
	Targets int
}

// Next returns the names whose turn it is: in order of name, from where the
// rota stopped, as many as have no more than most targets together, but one
// at least.
func (r Rota) Next(due []Turn, most int) ([]string, Rota) {
	if len(due) == 0 {
		return nil, r
	}
	due = slices.Clone(due)
	slices.SortFunc(due, func(a, b Turn) int { return cmp.Compare(a.Name, b.Name) })
	first, _ := slices.BinarySearchFunc(due, r.after, func(t Turn, after string) int {
		if t.Name > after {
			return 1
		}
		return -1
	})
	names := make([]string, 0, len(due))
	sum := 0
	for i := range due {
		t := due[(first+i)%len(due)]
		if sum += t.Targets; sum > most && len(names) > 0 {
			break
		}
		names = append(names, t.Name)
	}
	return names, Rota{after: names[len(names)-1]}
}
