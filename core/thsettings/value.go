package thsettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

var errNotAllowed = errors.New("not allowed")

// stringOrEmpty returns the string that p points to, or "" if p is nil, as in the
// zero values that package flag creates.
func stringOrEmpty(p *string) string {
	if p == nil {
		return ""
	}
	return *p
}

// nameValue accepts a name of letters, digits, '-', '_' and '.'.
type nameValue struct{ dest *string }

func (v *nameValue) String() string { return stringOrEmpty(v.dest) }
func (v *nameValue) isSecret() bool { return false }

func (v *nameValue) allowedValues() string {
	return fmt.Sprintf("1 to %d letters, digits, '-', '_' and '.'", maxNameLength)
}

func (v *nameValue) Set(s string) error {
	remaining := strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
	if s == "" || len(s) > maxNameLength || remaining != "" {
		return errNotAllowed
	}
	*v.dest = s
	return nil
}

// addressValue accepts an IP address with a port.
type addressValue struct{ dest *string }

func (v *addressValue) String() string { return stringOrEmpty(v.dest) }
func (v *addressValue) isSecret() bool { return false }
func (v *addressValue) allowedValues() string {
	return "IP:port with a port above 0, such as 10.0.0.7:8080"
}

func (v *addressValue) Set(s string) error {
	if err := checkAddress(s); err != nil {
		return err
	}
	*v.dest = s
	return nil
}

func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return errNotAllowed
	}
	return nil
}

// ipValue accepts an IP address.
type ipValue struct{ dest *string }

func (v *ipValue) String() string        { return stringOrEmpty(v.dest) }
func (v *ipValue) isSecret() bool        { return false }
func (v *ipValue) allowedValues() string { return "an IP address, such as 10.0.0.7" }

func (v *ipValue) Set(s string) error {
	if _, err := netip.ParseAddr(s); err != nil {
		return errNotAllowed
	}
	*v.dest = s
	return nil
}

// addressesValue accepts addresses separated by commas. Each call of Set appends.
type addressesValue struct{ dest *[]string }

func (v *addressesValue) isSecret() bool { return false }
func (v *addressesValue) allowedValues() string {
	return "a list of IP:port with ports above 0, separated by commas"
}

func (v *addressesValue) String() string {
	if v.dest == nil {
		return ""
	}
	return strings.Join(*v.dest, ",")
}

func (v *addressesValue) Set(s string) error {
	for _, a := range strings.Split(s, ",") {
		a = strings.TrimSpace(a)
		if err := checkAddress(a); err != nil {
			return err
		}
		*v.dest = append(*v.dest, a)
	}
	return nil
}

// credentialValue accepts a secret of printable ASCII characters without spaces.
type credentialValue struct{ dest *string }

func (v *credentialValue) isSecret() bool { return true }

// String returns "" so that usage texts, which show defaults, never show a
// credential.
func (v *credentialValue) String() string { return "" }

func (v *credentialValue) allowedValues() string {
	return fmt.Sprintf("%d to %d printable ASCII characters without spaces", minCredentialLength, maxCredentialLength)
}

func (v *credentialValue) Set(s string) error {
	isForbidden := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(s) < minCredentialLength || len(s) > maxCredentialLength || strings.ContainsFunc(s, isForbidden) {
		return errNotAllowed
	}
	*v.dest = s
	return nil
}

// integerValue accepts an integer from low to high.
type integerValue[N int | uint64] struct {
	dest      *N
	low, high N
}

func (v *integerValue[N]) isSecret() bool { return false }

func (v *integerValue[N]) allowedValues() string {
	return fmt.Sprintf("a whole number from %d to %d", v.low, v.high)
}

func (v *integerValue[N]) String() string {
	if v.dest == nil {
		return ""
	}
	return fmt.Sprint(*v.dest)
}

func (v *integerValue[N]) Set(s string) error {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || uint64(n) < uint64(v.low) || uint64(n) > uint64(v.high) {
		return errNotAllowed
	}
	*v.dest = N(n)
	return nil
}

// boolValue accepts true or false.
type boolValue struct{ dest *bool }

func (v *boolValue) isSecret() bool        { return false }
func (v *boolValue) allowedValues() string { return "true or false" }

func (v *boolValue) String() string {
	if v.dest == nil {
		return ""
	}
	return strconv.FormatBool(*v.dest)
}

func (v *boolValue) Set(s string) error {
	switch s {
	case "true", "false":
		*v.dest = s == "true"
		return nil
	}
	return errNotAllowed
}

// pairsValue accepts name=value pairs separated by commas. Each call of Set
// appends.
type pairsValue struct{ dest *[]string }

func (v *pairsValue) isSecret() bool        { return false }
func (v *pairsValue) allowedValues() string { return "a list of name=value, separated by commas" }

func (v *pairsValue) String() string {
	if v.dest == nil {
		return ""
	}
	return strings.Join(*v.dest, ",")
}

func (v *pairsValue) Set(s string) error {
	for pair := range strings.SplitSeq(s, ",") {
		name, _, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return errNotAllowed
		}
		*v.dest = append(*v.dest, pair)
	}
	return nil
}
