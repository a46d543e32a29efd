package boot

import (
	"net"
	"net/http"
	"time"

	"mangolug.org/router/back"
)

// platformDialTimeout is the time limit for opening a connection to the platform.
const platformDialTimeout = time.Second

// httpClientFrom returns a client that connects from the given local address; nil means any.
func httpClientFrom(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: platformDialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{DialContext: back.CheckHeads(dialer.DialContext)}}
}
