package peer

// The HTTP/2 flow control windows between nodes, which bound what a node holds of bodies that nobody reads.
const (
	// responseWindowBytes bounds what an ingress holds of one response. A target may send a body without end to a caller that does
	// not read. A response between regions, with a round trip of 110 ms, gets 2.3 MB/s.
	responseWindowBytes = 256 << 10
	// requestWindowBytes and connWindowBytes bound what a sidecar holds of one request and of all requests on a connection. The second
	// is the largest that net/http allows. The running requests of a few targets never use it up, so that none of them waits for
	// another one to be read.
	requestWindowBytes = 128 << 10
	connWindowBytes    = 4<<20 - 1
	// maxUnaskedBytes is the size up to which a body within the zone is sent at once. A larger one is held back until its run starts,
	// since the bodies of queued requests would use up the window of the connection.
	maxUnaskedBytes = 64 << 10
)
