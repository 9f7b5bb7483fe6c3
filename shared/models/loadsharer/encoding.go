package loadsharer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// flowBits is the number of significant bits of flows in messages.
	flowBits = 5
	// maxFlowCode is the code of the largest flows that a uint32 can hold.
	maxFlowCode = (32-flowBits)<<(flowBits-1) + 1<<flowBits - 1
)

// maxRecords bounds the names, groups and arrivals that are decoded, so that a small message does not
// allocate much memory. It is above the limits of valid messages, whose errors name the field.
const maxRecords = 4096

var (
	errNames   = errors.New("names: the list cannot be read")
	errIndex   = errors.New("groups and arrivals: a name is missing")
	errPartial = errors.New("groups and arrivals: the last one is incomplete")
	errTooMany = fmt.Errorf("names, groups and arrivals: must be at most %d", maxRecords)
	errServers = errors.New("servers: the columns cannot be read")
)

// wireLoad is the wire form of a Load. It has each name once, and the servers as two columns, each
// compressed on its own. As an array of records, 600 servers alone take 4 KB, four times what an
// entry may send and receive in one second.
type wireLoad struct {
	_ struct{} `cbor:",toarray"`
	// Names has, for each name in ascending order, the length of the prefix that it shares with the one
	// before, the length of the rest, and the rest.
	Names []byte
	// Groups has 3 numbers for each group: the indexes of both names, and the requests.
	Groups []uint32
	// Arrivals has 2 numbers for each service: the index of its name, and the rate.
	Arrivals []uint32
	// Tokens has the differences of successive tokens, and Flows the codes of the flows in the same order;
	// see flowCode.
	Tokens, Flows column
}

// MarshalCBOR encodes the load.
func (l Load) MarshalCBOR() ([]byte, error) {
	names := l.names()
	indexOf := func(name string) uint32 {
		i, _ := slices.BinarySearch(names, name)
		return uint32(i)
	}
	w := wireLoad{Names: packNames(names)}
	for _, g := range l.Groups {
		w.Groups = append(w.Groups, indexOf(g.Service), indexOf(g.DataCentre), g.Requests)
	}
	for _, a := range l.Arrivals {
		w.Arrivals = append(w.Arrivals, indexOf(a.Service), a.PerSecond)
	}
	tokens, flows := make([]uint32, len(l.Servers)), make([]uint32, len(l.Servers))
	previous := director.Token(0)
	for i, s := range l.Servers {
		// The difference is taken modulo 2^32, so that a list in another order stays readable.
		tokens[i], flows[i] = uint32(s.Token-previous), flowCode(s.Flows)
		previous = s.Token
	}
	var err error
	if w.Tokens, err = packColumn(tokens); err != nil {
		return nil, err
	}
	if w.Flows, err = packColumn(flows); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode a load: %w", err)
	}
	return data, nil
}

// UnmarshalCBOR decodes the load. It returns an error if a part cannot be read. It does not apply the
// limits of reports and summaries; see Report.Check and Summary.Check.
func (l *Load) UnmarshalCBOR(data []byte) error {
	var w wireLoad
	if err := cbor.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("decode a load: %w", err)
	}
	if len(w.Groups)/3 > maxRecords || len(w.Arrivals)/2 > maxRecords {
		return errTooMany
	}
	names, err := unpackNames(w.Names)
	if err != nil {
		return err
	}
	var decoded Load
	if decoded.Groups, err = decodeGroups(w.Groups, names); err != nil {
		return err
	}
	if decoded.Arrivals, err = decodeArrivals(w.Arrivals, names); err != nil {
		return err
	}
	if decoded.Servers, err = decodeServers(w.Tokens, w.Flows); err != nil {
		return err
	}
	*l = decoded
	return nil
}

// names returns the sorted names of the load, each once.
func (l Load) names() []string {
	names := make([]string, 0, 2*len(l.Groups)+len(l.Arrivals))
	for _, g := range l.Groups {
		names = append(names, g.Service, g.DataCentre)
	}
	for _, a := range l.Arrivals {
		names = append(names, a.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func packNames(names []string) []byte {
	var data []byte
	previous := ""
	for _, name := range names {
		shared := 0
		for shared < min(len(previous), len(name)) && previous[shared] == name[shared] {
			shared++
		}
		data = binary.AppendUvarint(data, uint64(shared))
		data = binary.AppendUvarint(data, uint64(len(name)-shared))
		data = append(data, name[shared:]...)
		previous = name
	}
	return data
}

func unpackNames(data []byte) ([]string, error) {
	var names []string
	previous := ""
	for len(data) > 0 {
		if len(names) >= maxRecords {
			return nil, errTooMany
		}
		shared, rest, err := takeNumber(data)
		if err != nil {
			return nil, errNames
		}
		length, rest, err := takeNumber(rest)
		if err != nil || int(shared) > len(previous) || int(length) > len(rest) || shared+length > director.MaxNameLength {
			return nil, errNames
		}
		previous = previous[:shared] + string(rest[:length])
		names = append(names, previous)
		data = rest[length:]
	}
	return names, nil
}

func decodeGroups(numbers []uint32, names []string) ([]GroupLoad, error) {
	if len(numbers)%3 != 0 {
		return nil, errPartial
	}
	var groups []GroupLoad
	for record := range slices.Chunk(numbers, 3) {
		if int(max(record[0], record[1])) >= len(names) {
			return nil, errIndex
		}
		groups = append(groups, GroupLoad{Service: names[record[0]], DataCentre: names[record[1]], Requests: record[2]})
	}
	return groups, nil
}

func decodeArrivals(numbers []uint32, names []string) ([]ServiceArrivals, error) {
	if len(numbers)%2 != 0 {
		return nil, errPartial
	}
	var arrivals []ServiceArrivals
	for record := range slices.Chunk(numbers, 2) {
		if int(record[0]) >= len(names) {
			return nil, errIndex
		}
		arrivals = append(arrivals, ServiceArrivals{Service: names[record[0]], PerSecond: record[1]})
	}
	return arrivals, nil
}

func decodeServers(tokenColumn, flowColumn column) ([]ServerLoad, error) {
	tokens, err := tokenColumn.unpack()
	if err != nil {
		return nil, err
	}
	flows, err := flowColumn.unpack()
	if err != nil {
		return nil, err
	}
	if len(tokens) != len(flows) {
		return nil, errServers
	}
	var servers []ServerLoad
	token := director.Token(0)
	for i, difference := range tokens {
		token += director.Token(difference)
		if flows[i] > maxFlowCode {
			return nil, errServers
		}
		servers = append(servers, ServerLoad{Token: token, Flows: flowsOf(flows[i])})
	}
	return servers, nil
}

// flowCode returns a small number for flows that are rounded to flowBits significant bits. Flows up to
// 32 are their own code, and each further power of 2 has 16 codes. Codes compress better than exact
// flows: they have one byte up to 2,000 flows, and sums that are nearly equal have the same.
func flowCode(flows uint32) uint32 {
	shift := max(bits.Len32(flows)-flowBits, 0)
	mantissa := (uint64(flows) + 1<<shift>>1) >> shift
	code := uint32(shift)<<(flowBits-1) + uint32(mantissa)
	return min(code, maxFlowCode)
}

// flowsOf returns the flows of a valid code.
func flowsOf(code uint32) uint32 {
	if code < 1<<flowBits {
		return code
	}
	shift := code>>(flowBits-1) - 1
	return (code - shift<<(flowBits-1)) << shift
}

// takeNumber returns the first variable-length integer of data, and the data after it.
func takeNumber(data []byte) (uint32, []byte, error) {
	number, size := binary.Uvarint(data)
	if size <= 0 || number > math.MaxUint32 {
		return 0, nil, errServers
	}
	return uint32(number), data[size:], nil
}
