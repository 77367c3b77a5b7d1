package gateway

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). It
// also lists Content-Length and Expect, which the gateway handles itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Expect": true,
}

// endToEndHeader copies a header without its hop-by-hop fields, including those named in the field Connection.
func endToEndHeader(hd http.Header) http.Header {
	const extra = 6 // room for the fields that are added later
	out := make(http.Header, len(hd)+extra)
	for name, vals := range hd {
		if !hopByHop[name] {
			out[name] = vals
		}
	}
	for _, line := range hd["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}
