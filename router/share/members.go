package share

import (
	"fmt"
	"net/netip"
	"slices"

	"mangolug.org/core/digest"
)

// encodeMembers returns a list of members in the columns of the wire format.
func encodeMembers(members []digest.Member) (*Mates, error) {
	c := &Mates{}
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil, fmt.Errorf("router %q: %w", m.Address, err)
		}
		centre := slices.Index(c.Names, m.DataCentre)
		if centre < 0 {
			centre = len(c.Names)
			c.Names = append(c.Names, m.DataCentre)
		}
		c.Hosts = append(c.Hosts, address.Addr().AsSlice())
		c.Ports = append(c.Ports, uint32(address.Port()))
		c.Centres = append(c.Centres, uint32(centre))
		c.Beats = append(c.Beats, m.Beat)
	}
	return c, nil
}

// decodeMembers returns the list of members in a wire message.
func decodeMembers(c *Mates) ([]digest.Member, error) {
	if c == nil {
		return nil, nil
	}
	n := len(c.Hosts)
	if len(c.Ports) != n || len(c.Centres) != n || len(c.Beats) != n {
		return nil, fmt.Errorf("columns of unequal length: %d hosts, %d ports, %d data centres, %d beats", n, len(c.Ports), len(c.Centres), len(c.Beats))
	}
	members := make([]digest.Member, 0, n)
	for i, host := range c.Hosts {
		ip, ok := netip.AddrFromSlice(host)
		if !ok || c.Ports[i] > 0xffff || int(c.Centres[i]) >= len(c.Names) {
			return nil, fmt.Errorf("member %d: host of %d bytes, port %d, data centre %d of %d", i, len(host), c.Ports[i], c.Centres[i], len(c.Names))
		}
		members = append(members, digest.Member{
			Address: netip.AddrPortFrom(ip, uint16(c.Ports[i])).String(), DataCentre: c.Names[c.Centres[i]], Beat: c.Beats[i],
		})
	}
	return members, nil
}
