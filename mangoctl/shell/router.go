package shell

import "net/netip"

// CheckRouters returns a usage error unless every address has the form ip:port.
func CheckRouters(addresses []string) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return Exitf(ExitUsage, "--router (or MANGOLUG_ROUTER) is %q: give a router's admin address as ip:port", a)
		}
	}
	return nil
}
