package boot

import (
	"net"
	"net/http"
	"time"
)

// platformConnect bounds how long a connection to the platform may take to open.
const platformConnect = time.Second

// httpFrom gives a client whose connections are made from an address; nil means any.
func httpFrom(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: platformConnect}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}
