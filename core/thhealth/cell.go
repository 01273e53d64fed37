package thhealth

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackhollow/core/therror"
)

// Cell is one VM's tally of one target as it is sent to other VMs. Sending it
// twice, or late, changes nothing: a receiver keeps the newest of each VM.
type Cell struct {
	// Target and Origin are hashes made by TargetKey and OriginKey.
	Target, Origin uint32
	// Age is how long ago the tally was taken.
	Age time.Duration
	// Leaving is whether the target itself told the VM that it is leaving.
	Leaving bool
	Tally   Tally
}

// TargetKey names a target of a service in cells.
func TargetKey(service, address string) uint32 { return key(service, address) }

// OriginKey names one incarnation of a VM in cells.
func OriginKey(id string, incarnation uint64) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], incarnation)
	return key(id, string(b[:]))
}

func key(a, b string) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return uint32(d.Sum64())
}

const (
	cellBytes = 17
	ageStep   = 50 * time.Millisecond
	// maxAge is the age beyond which a tally is not sent on.
	maxAge = 250 * ageStep
	// countScale makes a step of a coded count about 4 per cent.
	countScale  = 16
	workStep    = time.Millisecond
	leavingFlag = 1
)

// EncodeCells returns the cells in the compact form of the exchange.
func EncodeCells(cs []Cell) []byte {
	data := make([]byte, 0, len(cs)*cellBytes)
	for _, c := range cs {
		data = binary.BigEndian.AppendUint32(data, c.Target)
		data = binary.BigEndian.AppendUint32(data, c.Origin)
		data = append(data, byte(min(c.Age, maxAge)/ageStep), flags(c))
		data = append(data, code(c.Tally.Short.Requests), code(c.Tally.Short.Failed), code(c.Tally.Short.Slow))
		data = append(data, code(c.Tally.Long.Requests), code(c.Tally.Long.Failed), code(c.Tally.Long.Slow))
		data = append(data, code(float64(c.Tally.Work)/float64(workStep)))
	}
	return data
}

// DecodeCells reads what EncodeCells wrote. It fails with MessageMalformed if
// the length does not fit.
func DecodeCells(data []byte) ([]Cell, error) {
	if len(data)%cellBytes != 0 {
		return nil, therror.New(therror.MessageMalformed, "%d bytes are no whole number of cells", len(data))
	}
	cs := make([]Cell, 0, len(data)/cellBytes)
	for ; len(data) > 0; data = data[cellBytes:] {
		c := Cell{
			Target:  binary.BigEndian.Uint32(data),
			Origin:  binary.BigEndian.Uint32(data[4:]),
			Age:     time.Duration(data[8]) * ageStep,
			Leaving: data[9]&leavingFlag != 0,
		}
		c.Tally.Short = Counts{Requests: decode(data[10]), Failed: decode(data[11]), Slow: decode(data[12])}
		c.Tally.Long = Counts{Requests: decode(data[13]), Failed: decode(data[14]), Slow: decode(data[15])}
		c.Tally.Work = time.Duration(decode(data[16]) * float64(workStep))
		cs = append(cs, c)
	}
	return cs, nil
}

func flags(c Cell) byte {
	if c.Leaving {
		return leavingFlag
	}
	return 0
}

// code maps a count to one byte on a logarithmic scale.
func code(x float64) byte {
	return byte(min(math.Round(countScale*math.Log2(1+max(x, 0))), math.MaxUint8))
}

func decode(b byte) float64 { return math.Exp2(float64(b)/countScale) - 1 }
