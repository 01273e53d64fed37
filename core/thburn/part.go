package thburn

import (
	"strconv"

	"tamarackhollow/core/throster"

	"github.com/cespare/xxhash/v2"
)

// Parts is into how many parts the customers are divided. Each part has one
// home and one object. There are about as many as VMs at full size, so that no
// home hears much more than it sends.
const Parts = 512

// PartOf returns the part that a customer belongs to.
func PartOf(customer string) int { return int(xxhash.Sum64String(customer) % Parts) }

// PartName returns the name that a part's home and object are found by.
func PartName(part int) string { return "burn/" + strconv.Itoa(part) }

// Homes returns each part's home. It is a function of the roster alone, which
// gives no VM more than one part above the average, since the counts of a part
// are a good share of what a VM may hear. An empty roster has no homes.
func Homes(r throster.Roster) []throster.VM {
	homes := make([]throster.VM, Parts)
	if r.Len() == 0 {
		return homes
	}
	most := Parts/r.Len() + 1
	load := make(map[string]int, r.Len())
	for i := range homes {
		home, _ := r.Home(PartName(i))
		homes[i] = home
		load[home.ID]++
		if load[home.ID] == most {
			r = r.WithoutVM(home.ID)
		}
	}
	return homes
}
