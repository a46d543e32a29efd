package door

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Serve runs an HTTP server until the context ends. If the server is shut down earlier, Serve still waits for the context.
func Serve(ctx context.Context, server *http.Server, socket net.Listener) error {
	stopped := context.AfterFunc(ctx, func() { server.Close() })
	defer stopped()
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return errors.Wrap(err, "serve")
}
