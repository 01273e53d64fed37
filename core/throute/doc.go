// Package throute decides where a request goes: which target is picked, which
// customer's request is next, and whether a failed attempt is repeated. It
// reads no clock and holds no lock; its callers guard what they share.
package throute
