package local

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports below the range that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 31999
	portStep  = 120 // ports between the starts of two neighbouring processes
)

var (
	portMutex sync.Mutex
	nextPort  = firstPort + os.Getpid()%100*portStep
)

// freeAddress gives an address of an IP at which nothing listens.
func freeAddress(ip string) (string, error) {
	portMutex.Lock()
	defer portMutex.Unlock()
	for range lastPort - firstPort {
		address := net.JoinHostPort(ip, strconv.Itoa(nextPort))
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errors.Errorf("no free port at %s", ip)
}
