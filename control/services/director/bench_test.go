package director

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// Measures the time to apply the announcement of a restarted backend server, with few
// backend servers and with the number of the design size.
func BenchmarkAnnounce(b *testing.B) {
	for _, hosts := range []int{150, 3900} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m, index := NewMachine(), uint64(0)
			apply := func(command Command) {
				data, err := Encode(command)
				require.NoError(b, err)
				index++
				_, err = m.Apply(index, data)
				require.NoError(b, err)
			}
			apply(declaration(1, route(routeA, "orders")))
			address := func(i int) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
			}
			for i := range hosts {
				apply(announce(fmt.Sprint("h", i), address(i), 100, 1, false))
			}
			b.ResetTimer()
			for i := range b.N {
				host := i % hosts
				apply(announce(fmt.Sprint("h", host), address(host), uint64(200+i), 1, false))
			}
		})
	}
}
