package thingress

import (
	"time"

	"tamarackhollow/core/therror"
	"tamarackhollow/core/thmessage"
	"tamarackhollow/core/thtable"
)

// Inquiry describes a request that an operator asks about. It is not sent.
type Inquiry struct {
	Method, Host string
	// URI is the path and query.
	URI string
	// Key is the customer's key; Customer, its name, is used if Key is empty.
	Key, Customer string
	// BodyBytes is the length of the body.
	BodyBytes int
	// Timeout is how long the caller waits; 0 means that the request does not say.
	Timeout time.Duration
}

// Inquire returns the request of an inquiry as it would be passed on if it arrived now, with a body
// of zeros, or the refusal that it would get before that. It returns a therror.MessageMalformed for
// a customer whose name is not configured.
func (s *Server) Inquire(i Inquiry) (*thmessage.Request, *Refusal, error) {
	table := s.options.Table()
	request := &thmessage.Request{Method: i.Method, Host: i.Host, URI: i.URI, Arrived: s.options.Clock.Now()}
	if i.Key == "" && i.Customer != "" && !hasCustomer(table, i.Customer) {
		return request, nil, therror.New(therror.MessageMalformed, "customer %q is not configured", i.Customer)
	}
	if refusal := resolve(table, request, func() (thtable.Customer, error) { return i.customer(table) }); refusal != nil {
		return request, refusal, nil
	}
	if i.BodyBytes > orDefault(table.Limits().BodyBytes, defaultBodyBytes) {
		return request, &Refusal{Err: therror.New(therror.RequestTooLarge, "the body is larger than the limit")}, nil
	}
	if s.isRefusing() {
		return request, stopRefusal(), nil
	}
	setTimes(request, orDefault(i.Timeout, defaultTimeout))
	request.Body = zeroBody(i.BodyBytes)
	return request, nil, nil
}

// customer returns the customer whose key or name the inquiry has.
func (i Inquiry) customer(table thtable.Table) (thtable.Customer, error) {
	if i.Key != "" {
		return holderOf(table, i.Key)
	}
	for _, c := range table.Document().Customers {
		if c.Name == i.Customer {
			return c, nil
		}
	}
	return thtable.Customer{}, errKeyMissing()
}

func hasCustomer(table thtable.Table, name string) bool {
	_, err := Inquiry{Customer: name}.customer(table)
	return err == nil
}

// zeroPieceBytes is the length of the pieces of a body of zeros, which share their memory.
const zeroPieceBytes = 64 << 10

// zeroBody returns a body of zeros that takes little memory.
func zeroBody(length int) (b thmessage.Body) {
	piece := make([]byte, min(max(0, length), zeroPieceBytes))
	for ; length > 0; length -= len(piece) {
		piece = piece[:min(length, len(piece))]
		b = append(b, piece)
	}
	return b
}
