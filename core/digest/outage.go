package digest

import "time"

// minOutage is the shortest outage of the platform in which an entry of a live server can expire: three heartbeats of 1.2 s, of which the first may have
// come just before it.
const minOutage = 2200 * time.Millisecond

// Outages finds the outages of the platform: times in which no router reads it. The zero value is ready to use.
type Outages struct {
	readAt     time.Duration // time of the newest read; 0 for never
	returnedAt time.Duration // time of the first read after the newest outage; 0 if there was none
	returned   Position      // position as of that read
}

// Observe records that some router read the platform at a time, and the position up to which all changes were known then.
func (o *Outages) Observe(readAt time.Duration, at Position) {
	if o.readAt > 0 && readAt-o.readAt >= minOutage {
		o.returnedAt, o.returned = readAt, at
	}
	o.readAt = max(o.readAt, readAt)
}

// MayHaveExpired reports whether a server's entry that was removed at a revision, or at an unknown one if that is 0, may have expired in the newest outage,
// and when the platform came back from that. Later removals were made by a platform that served.
func (o *Outages) MayHaveExpired(revision int64) (returnedAt time.Duration, ok bool) {
	return o.returnedAt, o.returnedAt > 0 && revision <= o.returned.Revision
}
