package thsettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

var errNotAllowed = errors.New("not allowed")

func text(p *string) string {
	if p == nil {
		return ""
	}
	return *p
}

// nameValue takes letters, digits and a few marks.
type nameValue struct{ p *string }

func (v *nameValue) String() string { return text(v.p) }
func (v *nameValue) secret() bool   { return false }

func (v *nameValue) allowed() string {
	return fmt.Sprintf("1 to %d letters, digits, '-', '_' and '.'", maxNameLength)
}

func (v *nameValue) Set(s string) error {
	other := strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
	if s == "" || len(s) > maxNameLength || other != "" {
		return errNotAllowed
	}
	*v.p = s
	return nil
}

// addressValue takes an IP address and a port.
type addressValue struct{ p *string }

func (v *addressValue) String() string  { return text(v.p) }
func (v *addressValue) secret() bool    { return false }
func (v *addressValue) allowed() string { return "IP:port with a port above 0, such as 10.0.0.7:8080" }

func (v *addressValue) Set(s string) error {
	if err := checkAddress(s); err != nil {
		return err
	}
	*v.p = s
	return nil
}

func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return errNotAllowed
	}
	return nil
}

// ipValue takes an IP address.
type ipValue struct{ p *string }

func (v *ipValue) String() string  { return text(v.p) }
func (v *ipValue) secret() bool    { return false }
func (v *ipValue) allowed() string { return "an IP address, such as 10.0.0.7" }

func (v *ipValue) Set(s string) error {
	if _, err := netip.ParseAddr(s); err != nil {
		return errNotAllowed
	}
	*v.p = s
	return nil
}

// addressesValue takes addresses one by one or separated by commas.
type addressesValue struct{ p *[]string }

func (v *addressesValue) secret() bool    { return false }
func (v *addressesValue) allowed() string { return "a list of IP:port" }

func (v *addressesValue) String() string {
	if v.p == nil {
		return ""
	}
	return strings.Join(*v.p, ",")
}

func (v *addressesValue) Set(s string) error {
	for _, a := range strings.Split(s, ",") {
		a = strings.TrimSpace(a)
		if err := checkAddress(a); err != nil {
			return err
		}
		*v.p = append(*v.p, a)
	}
	return nil
}

// credentialValue takes a secret of printable characters.
type credentialValue struct{ p *string }

func (v *credentialValue) secret() bool { return true }

// String hides the credential, since usage texts show defaults.
func (v *credentialValue) String() string { return "" }

func (v *credentialValue) allowed() string {
	return fmt.Sprintf("%d to %d printable ASCII characters without spaces", minCredential, maxCredential)
}

func (v *credentialValue) Set(s string) error {
	strange := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(s) < minCredential || len(s) > maxCredential || strings.ContainsFunc(s, strange) {
		return errNotAllowed
	}
	*v.p = s
	return nil
}

// wholeValue takes a whole number within bounds.
type wholeValue[N int | uint64] struct {
	p         *N
	low, high N
}

func (v *wholeValue[N]) secret() bool { return false }

func (v *wholeValue[N]) allowed() string {
	return fmt.Sprintf("a whole number from %d to %d", v.low, v.high)
}

func (v *wholeValue[N]) String() string {
	if v.p == nil {
		return ""
	}
	return fmt.Sprint(*v.p)
}

func (v *wholeValue[N]) Set(s string) error {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || uint64(n) < uint64(v.low) || uint64(n) > uint64(v.high) {
		return errNotAllowed
	}
	*v.p = N(n)
	return nil
}

// pairsValue takes texts of the form name=value, one by one or separated by
// commas.
type pairsValue struct{ p *[]string }

func (v *pairsValue) secret() bool    { return false }
func (v *pairsValue) allowed() string { return "a list of name=value" }

func (v *pairsValue) String() string {
	if v.p == nil {
		return ""
	}
	return strings.Join(*v.p, ",")
}

func (v *pairsValue) Set(s string) error {
	for part := range strings.SplitSeq(s, ",") {
		name, _, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return errNotAllowed
		}
		*v.p = append(*v.p, part)
	}
	return nil
}
