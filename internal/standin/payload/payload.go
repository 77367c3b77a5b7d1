package payload

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
)

// Query parameters and headers of the protocol between stand-in callers and targets.
const (
	QueryOperation = "operation"  // ID of the caller's operation, echoed in HeaderOperation
	QueryClient    = "client"     // address of the client for which the caller sends the request
	QueryBytes     = "bytes"      // size of the response body in bytes
	QueryTrailer   = "trailer"    // if present, the checksum is sent in a trailer and Content-Length is omitted
	QueryServiceMs = "service_ms" // median of the service time in milliseconds

	HeaderOperation = "Standin-Operation"
	HeaderTarget    = "Standin-Target"
	HeaderServiceMs = "Standin-Service-Ms"
	HeaderSHA256    = "Body-Sha256"
)

// Response is the JSON body of a response to a request without a valid QueryBytes parameter.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Operation string `json:"operation"`
	Bytes     int64  `json:"bytes"`  // length of the request body
	SHA256    string `json:"sha256"` // checksum of the request body in hexadecimal digits
}

// Reader returns the body of an operation: size pseudo-random bytes, generated from the operation's ID.
func Reader(operation string, size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(operation))), size)
}

// SHA256 returns the SHA-256 checksum of the bytes of Reader in hexadecimal digits.
func SHA256(operation string, size int64) string {
	hs := sha256.New()
	// Neither the generator nor the hash returns an error.
	_, _ = io.Copy(hs, Reader(operation, size))
	return hex.EncodeToString(hs.Sum(nil))
}
