package pool

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/digest"
)

const (
	// versionTTL is how long it is remembered that a service had servers of a software version.
	versionTTL = 10 * time.Minute
	// maxVersions is the number of versions of a service above which the one that was gone for longest is forgotten.
	maxVersions = 64
)

// VersionID returns the hash of the name of a software version, which stands for it in messages.
func VersionID(name string) uint32 { return nameID(name) }

// ServiceID returns the hash of the name of a service, which stands for it in messages.
func ServiceID(name string) uint32 { return nameID(name) }

// ReadAnew records that all servers were just read from the platform. Servers that came and went before may have been missed.
func (p *Pool) ReadAnew(now time.Duration) {
	p.init()
	p.readAnewAt, p.wasRead, p.rewinding = now, true, false
}

// Versions returns how many software versions the servers of a service have had within the last window, and the version if there was only one.
func (p *Pool) Versions(now time.Duration, service uint32, window time.Duration) (sole uint32, count digest.VersionCount) {
	p.init()
	for name, v := range p.services {
		if nameID(name) == service {
			sole, count = v.versions(now, window)
			break
		}
	}
	if count == digest.VersionsOne && (!p.wasRead || now-p.readAnewAt < window || p.sourceLost && now-p.peersAt > peerMaxAge) {
		return 0, digest.VersionsUnknown
	}
	return sole, count
}

// versions returns how many versions the known servers had within the last window, and the version if there was only one.
func (v *service) versions(now, window time.Duration) (uint32, digest.VersionCount) {
	var versions []uint32
	for _, b := range v.servers {
		if !slices.Contains(versions, b.versionID) {
			versions = append(versions, b.versionID)
		}
	}
	for id, at := range v.versionsGone {
		if now-at <= window && !slices.Contains(versions, id) {
			versions = append(versions, id)
		}
	}
	switch len(versions) {
	case 0:
		return 0, digest.VersionsUnknown
	case 1:
		return versions[0], digest.VersionsOne
	default:
		return 0, digest.VersionsSeveral
	}
}

// WarmServers returns up to n servers, chosen at random, that are not cold.
func (p *Pool) WarmServers(now time.Duration, n int) []Server {
	p.init()
	var warm []Server
	for _, b := range p.servers {
		if !p.cold(now, b) {
			warm = append(warm, b.Server)
		}
	}
	slices.SortFunc(warm, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	p.Random.Shuffle(len(warm), func(i, j int) { warm[i], warm[j] = warm[j], warm[i] })
	return warm[:min(n, len(warm))]
}

// addVersion records a server's version, and calls OnVersion if the service has other versions too.
func (p *Pool) addVersion(v *service, b *backend) {
	b.versionID = nameID(b.Version)
	others, known := 0, false
	for _, o := range v.servers {
		if o != b {
			known = known || o.versionID == b.versionID
			others++
		}
	}
	if others > 0 && !known && p.OnVersion != nil {
		p.OnVersion(v.name)
	}
}

// leaveVersion records that a server's version was there until now.
func (v *service) leaveVersion(now time.Duration, id uint32) {
	if v.versionsGone == nil {
		v.versionsGone = make(map[uint32]time.Duration)
	}
	v.versionsGone[id] = now
	if len(v.versionsGone) <= maxVersions {
		return
	}
	oldest := id
	for other, at := range v.versionsGone {
		if now-at > versionTTL {
			delete(v.versionsGone, other)
		} else if at < v.versionsGone[oldest] {
			oldest = other
		}
	}
	if len(v.versionsGone) > maxVersions {
		delete(v.versionsGone, oldest)
	}
}

// excludes reports whether a request must not be sent to a server, whatever that server's load: it has failed the request, or the request goes on
// with a stream that may not have begun at the server's software version. A server that ended may be back with another version before its entry is.
func (a *Request) excludes(b *backend) bool {
	return a.Pinned && (a.Version != b.versionID || b.ended()) || slices.Contains(a.Tried, b.ID)
}

// versionGone reports whether no server is left that may go on with the stream of a request.
func (p *Pool) versionGone(v *service, a *Request) bool {
	return a.Pinned && !slices.ContainsFunc(v.servers, func(b *backend) bool { return p.accepting(b) && !a.excludes(b) })
}
