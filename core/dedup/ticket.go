package dedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"hash"
	"strconv"
	"strings"
	"sync"
	"time"

	"damasklatch/core/id"
)

// MaxTicketLength is the maximum length in bytes of a ticket that Parse accepts. The longest valid ticket takes 250 bytes: two
// names of 63 bytes, two numbers of 20 digits, the request ID, the MAC and the separators.
const MaxTicketLength = 256

const (
	ticketVersion = "v1"
	ticketFields  = 7
	requestLength = 32
)

// Ticket permits its holder to send one request to one process of an entry VM.
type Ticket struct {
	Process  id.VMIncarnation
	Expiry   time.Time // encoded with millisecond precision
	HomeSite id.Site   // site of the client, empty if unknown
	Request  id.Request
}

// ParseError reports why a string is not a valid ticket. It does not contain the ticket.
type ParseError struct{ Reason string }

func (er *ParseError) Error() string { return "ticket: " + er.Reason }

// Signer encodes tickets and verifies them with the secret that all VMs of the fleet share. It is safe for concurrent use.
type Signer struct {
	macs sync.Pool
}

// mac holds the state and the buffers for one computation of a MAC.
type mac struct {
	hash hash.Hash
	sum  [sha256.Size]byte
	text []byte
}

// NewSigner returns a signer for the secret. It copies the secret.
func NewSigner(secret []byte) *Signer {
	key := append([]byte(nil), secret...)
	return &Signer{macs: sync.Pool{New: func() any {
		return &mac{hash: hmac.New(sha256.New, key), text: make([]byte, 0, MaxTicketLength)}
	}}}
}

// Encode returns the ticket as "v1.<vm>.<incarnation>.<expiry_unix_ms>.<home_site>.<request_id>.<mac>". All fields consist of
// characters of the base64url alphabet. The MAC is HMAC-SHA256 over the text before its separator.
func (sg *Signer) Encode(tk Ticket) string {
	mc := sg.macs.Get().(*mac)
	defer sg.macs.Put(mc)
	dst := appendFields(mc.text[:0], tk)
	mc.hash.Reset()
	mc.hash.Write(dst)
	sum := mc.hash.Sum(mc.sum[:0])
	dst = append(dst, '.')
	dst = base64.RawURLEncoding.AppendEncode(dst, sum)
	mc.text = dst
	return string(dst)
}

// appendFields appends the text of the ticket without the MAC.
func appendFields(dst []byte, tk Ticket) []byte {
	dst = append(dst, ticketVersion...)
	dst = append(dst, '.')
	dst = append(dst, tk.Process.VM...)
	dst = append(dst, '.')
	dst = strconv.AppendUint(dst, uint64(tk.Process.Incarnation), 10)
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, tk.Expiry.UnixMilli(), 10)
	dst = append(dst, '.')
	dst = append(dst, tk.HomeSite...)
	dst = append(dst, '.')
	return append(dst, tk.Request...)
}

// Parse verifies the MAC of a ticket and returns the ticket. The error is a *ParseError. The ticket may have expired or name
// another process, which Table.Begin checks.
func (sg *Signer) Parse(s string) (Ticket, error) {
	if len(s) > MaxTicketLength {
		return Ticket{}, &ParseError{Reason: fmt.Sprintf("longer than %d bytes", MaxTicketLength)}
	}
	end := strings.LastIndexByte(s, '.')
	if end < 0 {
		return Ticket{}, &ParseError{Reason: "has no MAC"}
	}
	if !sg.verify(s[:end], s[end+1:]) {
		return Ticket{}, &ParseError{Reason: "MAC does not match"}
	}
	return parseFields(s[:end])
}

// verify reports whether want is the encoded MAC of fields. It compares the encoded texts and not the decoded bytes, because
// several base64 texts decode to the same bytes.
func (sg *Signer) verify(fields, want string) bool {
	mc := sg.macs.Get().(*mac)
	defer sg.macs.Put(mc)
	mc.hash.Reset()
	mc.text = append(mc.text[:0], fields...)
	mc.hash.Write(mc.text)
	sum := mc.hash.Sum(mc.sum[:0])
	mc.text = base64.RawURLEncoding.AppendEncode(mc.text[:0], sum)
	return hmac.Equal(mc.text, []byte(want))
}

// parseFields parses the text of a ticket without the MAC.
func parseFields(s string) (Ticket, error) {
	fs := strings.Split(s, ".")
	if len(fs) != ticketFields-1 || fs[0] != ticketVersion {
		return Ticket{}, &ParseError{Reason: "not a ticket of version " + ticketVersion}
	}
	inc, err := strconv.ParseUint(fs[2], 10, 64)
	if err != nil {
		return Ticket{}, &ParseError{Reason: "incarnation is not a number"}
	}
	ms, err := strconv.ParseInt(fs[3], 10, 64)
	if err != nil {
		return Ticket{}, &ParseError{Reason: "expiry is not a number"}
	}
	tk := Ticket{
		Process:  id.VMIncarnation{VM: id.VM(fs[1]), Incarnation: id.Incarnation(inc)},
		Expiry:   time.UnixMilli(ms),
		HomeSite: id.Site(fs[4]),
		Request:  id.Request(fs[5]),
	}
	switch {
	case !id.ValidName(tk.Process.VM):
		return Ticket{}, &ParseError{Reason: "VM is not a valid name"}
	case tk.HomeSite != "" && !id.ValidName(tk.HomeSite):
		return Ticket{}, &ParseError{Reason: "home site is not a valid name"}
	case !validRequest(tk.Request):
		return Ticket{}, &ParseError{Reason: "request ID is not 32 lower-case hexadecimal digits"}
	}
	return tk, nil
}

// validRequest reports whether rq consists of 32 lower-case hexadecimal digits.
func validRequest(rq id.Request) bool {
	if len(rq) != requestLength {
		return false
	}
	for i := range len(rq) {
		if ch := rq[i]; (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') {
			return false
		}
	}
	return true
}
