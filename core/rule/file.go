package rule

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a product.
type Kind int

// Kinds of product.
const (
	KindModel Kind = iota // model
	KindPlain             // plain
)

// File is a valid rule file.
type File struct {
	DataCentres []DataCentre
	Products    []Product
	Servers     []Server
	Teams       []Team
}

// DataCentre is a data centre and whether it takes new work.
type DataCentre struct {
	Name      string
	InService bool
	Comment   string
}

// Product is a product that teams send requests to. Its calls are idempotent unless they are in NonIdempotent.
type Product struct {
	Name          string
	Kind          Kind
	NonIdempotent []Call // non-idempotent calls
	Comment       string
}

// Call is a set of calls, given by a method and a path prefix.
type Call struct {
	Method string
	Path   string
}

// Server is a backend server of one product.
type Server struct {
	Name       string
	Product    string
	DataCentre string
	Address    string // ip:port
	Limit      int    // concurrent requests; upper bound of the adaptive limit
	Fencing    bool   // rejects requests with a stale fencing number
	Comment    string
}

// Team is a customer of the pool, with its share and the digest of its bearer key.
type Team struct {
	Name      string
	Share     int      // relative to the other teams' shares
	KeyDigest [32]byte // SHA-256
	Comment   string
}
