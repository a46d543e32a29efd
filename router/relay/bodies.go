package relay

import (
	"fmt"
	"io"
	"sync"
)

// bodyRoomError tells that the bodies held for all callers leave no room for one more.
type bodyRoomError struct{ Room int64 }

// Error gives the room.
func (e *bodyRoomError) Error() string {
	return fmt.Sprintf("callers' bodies take all their room of %d bytes", e.Room)
}

// bodies counts the bytes of callers' bodies that are held; its zero value works.
type bodies struct {
	mutex sync.Mutex
	held  int64
}

// take counts some more bytes, unless they exceed the room; 0 is no bound.
func (b *bodies) take(n, room int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if room > 0 && b.held+n > room {
		return false
	}
	b.held += n
	return true
}

// free ends the count of bytes.
func (b *bodies) free(n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= n
}

// bodyReader reads a call's body while there is room for it.
type bodyReader struct {
	io.Reader
	call *call
	room int64
}

// Read gives a *bodyRoomError when there is no room for what came.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.call.relay.bodies.take(int64(n), r.room) {
		return 0, &bodyRoomError{r.room}
	}
	r.call.held += int64(n)
	return n, err
}
