package peers

import "google.golang.org/grpc/metadata"

// restoresHeader is the header by which a receiver advertises, at the start of a stream, that it restores the fields that
// wire.StreamState omits. Envelopes are sent in full until it arrives, and always to routers of earlier versions, which don't send it.
const restoresHeader = "mangolug-restores"

// restoresMetadata returns the header that a receiver sends.
func restoresMetadata() metadata.MD { return metadata.Pairs(restoresHeader, "1") }
