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
	// Suspect is whether the VM needs to know more of the target.
	Suspect bool
	// Ejected is whether the VM has lately ejected the target, on more evidence
	// than its own.
	Ejected bool
	// Leaving is whether the target itself told the VM that it is leaving.
	Leaving bool
	Tally   Tally
	// Rest is what the same VM saw of the service's other targets.
	Rest Rest
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
	cellBytes = 27
	ageStep   = 50 * time.Millisecond
	// maxAge is the age beyond which a tally is not sent on.
	maxAge = 250 * ageStep
	// countScale makes a step of a coded count about 4 per cent.
	countScale  = 16
	workStep    = time.Millisecond
	leavingFlag = 1
	suspectFlag = 2
	ejectedFlag = 4
)

// EncodeCells returns the cells in the compact form of the exchange.
func EncodeCells(cs []Cell) []byte {
	data := make([]byte, 0, len(cs)*cellBytes)
	for _, c := range cs {
		data = binary.BigEndian.AppendUint32(data, c.Target)
		data = binary.BigEndian.AppendUint32(data, c.Origin)
		data = append(data, byte(min(c.Age, maxAge)/ageStep), flags(c))
		data = appendCounts(data, c.Tally.Short)
		data = appendCounts(data, c.Tally.Long)
		data = appendCounts(data, c.Rest.Short)
		data = appendCounts(data, c.Rest.Long)
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
			Suspect: data[9]&suspectFlag != 0,
			Ejected: data[9]&ejectedFlag != 0,
		}
		c.Tally.Short, c.Tally.Long = readCounts(data[10:]), readCounts(data[14:])
		c.Rest.Short, c.Rest.Long = readCounts(data[18:]), readCounts(data[22:])
		c.Tally.Work = time.Duration(decode(data[26]) * float64(workStep))
		cs = append(cs, c)
	}
	return cs, nil
}

func flags(c Cell) byte {
	var b byte
	if c.Leaving {
		b |= leavingFlag
	}
	if c.Suspect {
		b |= suspectFlag
	}
	if c.Ejected {
		b |= ejectedFlag
	}
	return b
}

func appendCounts(data []byte, c Counts) []byte {
	return append(data, code(c.Requests), code(c.Failed), code(c.Slow), code(c.Stalled))
}

func readCounts(data []byte) Counts {
	return Counts{Requests: decode(data[0]), Failed: decode(data[1]), Slow: decode(data[2]), Stalled: decode(data[3])}
}

// code maps a count to one byte on a logarithmic scale.
func code(x float64) byte {
	return byte(min(math.Round(countScale*math.Log2(1+max(x, 0))), math.MaxUint8))
}

func decode(b byte) float64 { return math.Exp2(float64(b)/countScale) - 1 }
