// Package thhealth decides which targets are sick from what requests showed,
// on this VM and on others, and what VMs tell each other about it. It reads no
// clock and holds no lock; its callers guard what they share.
package thhealth
