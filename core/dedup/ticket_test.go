package dedup_test

import (
	"strings"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/dedup"
	"damasklatch/core/id"

	"github.com/google/go-cmp/cmp"
)

func sample() dedup.Ticket {
	return dedup.Ticket{
		Process: id.VMIncarnation{VM: "north-a-1", Incarnation: 1_800_000_000_000_000_000},
		Expiry:  time.UnixMilli(1_800_000_006_000), HomeSite: "north-a", Request: "0123456789abcdef0123456789abcdef",
	}
}

// Guards against tickets that Encode and Parse change, and against valid tickets that exceed MaxTicketLength.
func TestTicketRoundTrip(t *testing.T) {
	sg := dedup.NewSigner([]byte("secret"))
	long := sample()
	long.Process.VM, long.Process.Incarnation = id.VM(strings.Repeat("v", 63)), ^id.Incarnation(0)
	long.HomeSite = id.Site(strings.Repeat("s", 63))
	noSite := sample()
	noSite.HomeSite = ""
	for _, tk := range []dedup.Ticket{sample(), long, noSite} {
		got, err := sg.Parse(sg.Encode(tk))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(tk, got); diff != "" {
			t.Errorf("ticket changed (-want +got):\n%s", diff)
		}
	}
}

// Guards against accepting tickets that are forged, truncated or signed with another secret.
func TestParseRejectsInvalidTickets(t *testing.T) {
	sg := dedup.NewSigner([]byte("secret"))
	good := sg.Encode(sample())
	badRequest := sample()
	badRequest.Request = "0123"
	for name, s := range map[string]string{
		"empty": "", "truncated": good[:len(good)-1], "extended": good + "A",
		"other secret":           dedup.NewSigner([]byte("other")).Encode(sample()),
		"changed VM":             strings.Replace(good, "north-a-1", "north-a-2", 1),
		"too long":               good + strings.Repeat("A", dedup.MaxTicketLength),
		"bad request ID":         sg.Encode(badRequest),
		"last character changed": good[:len(good)-1] + string(good[len(good)-1]+1),
		"no MAC":                 "v1",
		"other separator":        strings.ReplaceAll(good, ".", ","),
	} {
		if _, err := sg.Parse(s); err == nil {
			t.Errorf("%s: %q was accepted", name, s)
		}
	}
}

// Guards against panics on malicious input, and against two texts that parse to the same ticket.
func FuzzParse(f *testing.F) {
	sg := dedup.NewSigner([]byte("secret"))
	f.Add(sg.Encode(sample()))
	f.Add("v1......")
	f.Fuzz(func(t *testing.T, s string) {
		tk, err := sg.Parse(s)
		if err == nil && sg.Encode(tk) != s {
			t.Errorf("%q parses to a ticket that encodes to another text", s)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	sg := dedup.NewSigner([]byte("secret"))
	tk := sample()
	b.ReportAllocs()
	for b.Loop() {
		sg.Encode(tk)
	}
}
