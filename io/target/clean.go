package target

import (
	"net/http"
	"net/url"
	"strings"

	"damasklatch/core/keyring"
)

// hopByHop are the fields that concern one connection only (RFC 9110, section 7.6.1), and those that carry
// credentials for this system.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Authentication-Info": true, "Authorization": true,
}

// ownFields are set by this system and not taken over from a caller.
var ownFields = map[string]bool{
	"Request-Id": true, "Team": true, "Request-Deadline-Ms": true, "Expect": true, "Content-Length": true, "Host": true,
}

const ownPrefix = "Damasklatch-"

// connectionOptions returns the fields that the Connection fields of the header name.
func connectionOptions(hd http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range hd["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				if named == nil {
					named = map[string]bool{}
				}
				named[http.CanonicalHeaderKey(name)] = true
			}
		}
	}
	return named
}

// cleaner removes what must not be forwarded.
type cleaner struct{ key string }

// leaks reports whether a text contains the caller's key, or anything that looks like a key of this system.
func (cl cleaner) leaks(text string) bool {
	if cl.found(text) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	plain, err := url.QueryUnescape(text)
	if err == nil {
		return cl.found(plain)
	}
	return cl.found(unescapeValid(text))
}

func (cl cleaner) found(text string) bool {
	if len(text) < len(keyring.Prefix) {
		return false
	}
	if cl.key != "" && strings.Contains(text, cl.key) {
		return true
	}
	for at := 0; at+len(keyring.Prefix) <= len(text); at++ {
		if strings.EqualFold(text[at:at+len(keyring.Prefix)], keyring.Prefix) {
			return true
		}
	}
	return false
}

// unescapeValid decodes the valid escapes of a text and keeps the rest, because a target may do so too.
func unescapeValid(text string) string {
	var sb strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if plain, err := url.PathUnescape(text[i : i+3]); err == nil {
				sb.WriteString(plain)
				i += 2
				continue
			}
		}
		sb.WriteByte(text[i])
	}
	return sb.String()
}

// request returns the fields of a caller's header that are forwarded to a target.
func (cl cleaner) request(hd http.Header) http.Header {
	named := connectionOptions(hd)
	out := make(http.Header, len(hd)+4)
	for name, vals := range hd {
		if hopByHop[name] || named[name] || ownFields[name] || strings.HasPrefix(name, ownPrefix) || cl.leaks(name) {
			continue
		}
		if vals = cl.values(vals); len(vals) > 0 {
			out[name] = vals
		}
	}
	if len(out["User-Agent"]) == 0 {
		out["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return out
}

// values returns those without a key. It copies only if there is one.
func (cl cleaner) values(vals []string) []string {
	for nr, val := range vals {
		if !cl.leaks(val) {
			continue
		}
		kept := append([]string(nil), vals[:nr]...)
		for _, val := range vals[nr+1:] {
			if !cl.leaks(val) {
				kept = append(kept, val)
			}
		}
		return kept
	}
	return vals
}

// trailer copies the fields of a caller's trailer that are forwarded.
func (cl cleaner) trailer(dst, src http.Header) {
	for name, vals := range src {
		if _, ok := dst[name]; ok {
			dst[name] = cl.values(vals)
		}
	}
}

// trailerNames returns a trailer with the names that are announced to the target.
func (cl cleaner) trailerNames(src http.Header) http.Header {
	var out http.Header
	for name := range src {
		if hopByHop[name] || ownFields[name] || strings.HasPrefix(name, ownPrefix) || cl.leaks(name) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = nil
	}
	return out
}

// query returns the raw query without the parameters that contain a key. The rest is not changed.
func (cl cleaner) query(raw string) string {
	if raw == "" || !cl.leaks(raw) {
		return raw
	}
	var kept []string
	for param := range strings.SplitSeq(raw, "&") {
		if !cl.leaks(param) {
			kept = append(kept, param)
		}
	}
	raw = strings.Join(kept, "&")
	if cl.leaks(raw) {
		return "" // the key was spread over parameters by the separator
	}
	return raw
}

// ContainsKey reports whether a text contains the key or anything that looks like a key of this system. A path that does
// cannot be forwarded.
func ContainsKey(text, key string) bool { return cleaner{key: key}.leaks(text) }

// internalFields of a response are for this system and not for the caller.
var internalFields = map[string]bool{"Work-Load": true, "Work-Status": true}

// cleanResponse returns the fields of a target's response that are passed on to the caller.
func cleanResponse(hd http.Header) http.Header {
	named := connectionOptions(hd)
	out := make(http.Header, len(hd)+2)
	for name, vals := range hd {
		if hopByHop[name] || named[name] || internalFields[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		out[name] = vals
	}
	return out
}
