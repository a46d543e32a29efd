package peers

import (
	"context"
	"time"

	"google.golang.org/grpc/metadata"
)

const (
	// restoresHeader is sent at the start of a stream by a receiver that puts back what wire.Said leaves out.
	restoresHeader = "mangolug-restores"
	// restoresWait is how long a sender waits for it.
	restoresWait = 300 * time.Millisecond
)

// restoresMetadata says that the receiver restores.
func restoresMetadata() metadata.MD { return metadata.Pairs(restoresHeader, "1") }

// awaitRestores says whether the receiver restores; one that does not say so in time gets all whole.
func awaitRestores(ctx context.Context, restores <-chan bool) bool {
	timer := time.NewTimer(restoresWait)
	defer timer.Stop()
	select {
	case yes := <-restores:
		return yes
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
