package payload

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
)

// Names that callers and targets agree on.
const (
	QueryOperation = "operation"  // operation of the caller, echoed in HeaderOperation
	QueryClient    = "client"     // address of the client on whose behalf the caller asks
	QueryBytes     = "bytes"      // size of the body that the target shall send
	QueryTrailer   = "trailer"    // with any value, the checksum follows in a trailer and the length is not announced
	QueryServiceMs = "service_ms" // median of the service time in milliseconds

	HeaderOperation = "Standin-Operation"
	HeaderTarget    = "Standin-Target"
	HeaderServiceMs = "Standin-Service-Ms"
	HeaderSHA256    = "Body-Sha256"
)

// Response is the JSON body of answers that are no download.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Operation string `json:"operation"`
	Bytes     int64  `json:"bytes"`  // length of the request's body
	SHA256    string `json:"sha256"` // of the request's body
}

// Reader returns a body of size bytes for an operation.
func Reader(operation string, size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(operation))), size)
}

// SHA256 returns the checksum of Reader's bytes in hexadecimal digits.
func SHA256(operation string, size int64) string {
	hs := sha256.New()
	// Neither the generator nor the hash ever returns an error.
	_, _ = io.Copy(hs, Reader(operation, size))
	return hex.EncodeToString(hs.Sum(nil))
}
