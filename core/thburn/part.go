package thburn

import (
	"strconv"

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
