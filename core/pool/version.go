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

// Coverage says which changes of the servers a router can't have missed when it reads all of them. The zero value is that of a router that may have missed
// any before.
type Coverage struct {
	Continuous bool          // it has missed none since it last knew all servers
	Before     time.Duration // otherwise none in that time before the read
	FromCopy   bool          // the platform may have come back from an older copy, so that entries may still be written again
}

// ReadAnew records that all servers were just read from the platform.
func (p *Pool) ReadAnew(now time.Duration, c Coverage) {
	p.init()
	p.rewinding = false
	if c.Continuous && p.wasRead {
		return
	}
	p.completeSince, p.completeFrom, p.wasRead = now-c.Before, now, true
	if c.FromCopy {
		p.completeFrom += lapseGrace
	}
	for _, v := range p.services {
		clear(v.versionsSince) // when these versions joined may have been missed
	}
}

// Versions returns what is known of the software versions that the servers of a service have had within the last window. Earlier is not set: see
// EarlierVersion.
func (p *Pool) Versions(now time.Duration, service uint32, window time.Duration) digest.Versions {
	p.init()
	v := p.serviceOf(service)
	if v == nil {
		return digest.Versions{}
	}
	switch versions := v.versions(now, window); {
	case len(versions) > 1:
		return digest.Versions{Count: digest.VersionsSeveral}
	case len(versions) == 0 || !p.complete(now, window):
		return digest.Versions{}
	default:
		return digest.Versions{Count: digest.VersionsOne, Sole: versions[0]}
	}
}

// EarlierVersion returns the software version that all servers of a service had from a window ago until others joined it, and when these did. What joins
// while a platform that came back from a copy is written again may have been there before.
func (p *Pool) EarlierVersion(now time.Duration, service uint32, window time.Duration) (version uint32, joined time.Duration, ok bool) {
	p.init()
	v := p.serviceOf(service)
	if v == nil || !p.complete(now, window) {
		return 0, 0, false
	}
	joined = now
	for _, id := range v.versions(now, window) {
		switch since, known := v.versionsSince[id]; {
		case known && since > now-window:
			joined = min(joined, since)
		case ok:
			return 0, 0, false
		default:
			version, ok = id, true
		}
	}
	return version, joined, ok && joined >= p.completeFrom
}

// complete reports whether no server can have come and gone unseen within the last window.
func (p *Pool) complete(now, window time.Duration) bool {
	return p.wasRead && p.completeSince <= now-window && p.completeFrom <= now && !(p.sourceLost && now-p.peersAt > peerMaxAge)
}

// serviceOf returns the service whose name has a hash, or nil.
func (p *Pool) serviceOf(id uint32) *service {
	for name, v := range p.services {
		if nameID(name) == id {
			return v
		}
	}
	return nil
}

// versions returns the hashes of the versions that the known servers had within the last window.
func (v *service) versions(now, window time.Duration) []uint32 {
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
	return versions
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
func (p *Pool) addVersion(now time.Duration, v *service, b *backend) {
	before := b.versionID
	b.versionID = nameID(b.Version)
	others, known := 0, false
	for _, o := range v.servers {
		if o != b {
			known = known || o.versionID == b.versionID
			others++
		}
	}
	if _, gone := v.versionsGone[b.versionID]; !known && !gone && before != b.versionID {
		v.joinVersion(now, b.versionID)
	}
	if others > 0 && !known && p.OnVersion != nil {
		p.OnVersion(v.name)
	}
}

// joinVersion records that a version is there from now on.
func (v *service) joinVersion(now time.Duration, id uint32) {
	if v.versionsSince == nil {
		v.versionsSince = make(map[uint32]time.Duration)
	}
	v.versionsSince[id] = now
}

// RecordFormer records that a service had a server of a software version that is no longer listed, until now at the latest.
func (p *Pool) RecordFormer(now time.Duration, service, version string) {
	p.init()
	p.service(service).leaveVersion(now, nameID(version))
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
			v.forgetVersion(other)
		} else if at < v.versionsGone[oldest] {
			oldest = other
		}
	}
	if len(v.versionsGone) > maxVersions {
		v.forgetVersion(oldest)
	}
}

func (v *service) forgetVersion(id uint32) {
	delete(v.versionsGone, id)
	if !slices.ContainsFunc(v.servers, func(b *backend) bool { return b.versionID == id }) {
		delete(v.versionsSince, id)
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
