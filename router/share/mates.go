package share

import (
	"fmt"
	"net/netip"
	"slices"

	"mangolug.org/core/digest"
)

// mates gives the columns of a list of members.
func mates(list []digest.Member) (*Mates, error) {
	c := &Mates{}
	for _, m := range list {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil, fmt.Errorf("router %q: %w", m.Address, err)
		}
		at := slices.Index(c.Names, m.DataCentre)
		if at < 0 {
			at = len(c.Names)
			c.Names = append(c.Names, m.DataCentre)
		}
		c.Hosts = append(c.Hosts, address.Addr().AsSlice())
		c.Ports = append(c.Ports, uint32(address.Port()))
		c.Centres = append(c.Centres, uint32(at))
		c.Beats = append(c.Beats, m.Beat)
	}
	return c, nil
}

// members reads the columns of a list of members.
func members(c *Mates) ([]digest.Member, error) {
	if c == nil {
		return nil, nil
	}
	n := len(c.Hosts)
	if len(c.Ports) != n || len(c.Centres) != n || len(c.Beats) != n {
		return nil, fmt.Errorf("columns of unequal length: %d hosts, %d ports, %d data centres, %d beats", n, len(c.Ports), len(c.Centres), len(c.Beats))
	}
	list := make([]digest.Member, 0, n)
	for i, host := range c.Hosts {
		ip, ok := netip.AddrFromSlice(host)
		if !ok || c.Ports[i] > 0xffff || int(c.Centres[i]) >= len(c.Names) {
			return nil, fmt.Errorf("member %d: host of %d bytes, port %d, data centre %d of %d", i, len(host), c.Ports[i], c.Centres[i], len(c.Names))
		}
		list = append(list, digest.Member{
			Address: netip.AddrPortFrom(ip, uint16(c.Ports[i])).String(), DataCentre: c.Names[c.Centres[i]], Beat: c.Beats[i],
		})
	}
	return list, nil
}
