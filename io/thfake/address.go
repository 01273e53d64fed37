package thfake

import "net"

// FreeAddresses returns n different loopback addresses, "IP:port", whose ports
// were free just now. All ports are held until the last one is chosen, since the
// operating system may hand out a released port again at once.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
