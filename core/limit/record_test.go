package limit_test

import (
	"testing"

	"damasklatch/core/id"
	"damasklatch/core/limit"

	"github.com/google/go-cmp/cmp"
)

// Guards against a damaged or malicious record that grants more than the fraction of the failure domain.
func TestParseRecordRefuses(t *testing.T) {
	entry := func(vm, address, ppm string) string {
		return `{"vm":"` + vm + `","incarnation":1,"peer_address":"` + address + `","ppm":` + ppm + `}`
	}
	for name, entries := range map[string]string{
		"sum above fraction": entry("a", "1", "60") + "," + entry("b", "2", "41"),
		"duplicate VM":       entry("a", "1", "10") + "," + entry("a", "2", "10"),
		"duplicate address":  entry("a", "1", "10") + "," + entry("b", "1", "10"),
		"negative fraction":  entry("a", "1", "-10") + "," + entry("b", "2", "100"),
		"overflowing sum":    entry("a", "1", "9223372036854775807") + "," + entry("b", "2", "9223372036854775807"),
		"name with a slash":  entry("a/b", "1", "10"),
		"unknown field":      `{"vm":"a","incarnation":1,"peer_address":"1","ppm":1,"extra":1}`,
	} {
		if rc, err := limit.ParseRecord([]byte(`{"failure_domain":"north-a","ppm":100,"entries":[` + entries + `]}`)); err == nil {
			t.Errorf("%s: accepted as %+v", name, rc)
		}
	}
	for _, src := range []string{``, `{}`, `null`, `{"failure_domain":"north-a","ppm":1000001,"entries":[]}`,
		`{"failure_domain":"north-a","ppm":1,"entries":[]} x`} {
		if _, err := limit.ParseRecord([]byte(src)); err == nil {
			t.Errorf("%q: accepted", src)
		}
	}
	for _, src := range []string{`{"failure_domains":{"a":600000,"b":400001}}`, `{"failure_domains":{"a":-1}}`} {
		if _, err := limit.ParseSplit([]byte(src)); err == nil {
			t.Errorf("%q: accepted", src)
		}
	}
}

// Guards against a fraction that two VMs own, and against a takeover without the required wait.
func TestJoinAndReclaim(t *testing.T) {
	self := limit.Entry{VM: "a", Incarnation: 2, PeerAddress: "1"}
	old := limit.Entry{VM: "a", Incarnation: 1, PeerAddress: "1", PPM: 50}
	other := limit.Entry{VM: "b", Incarnation: 1, PeerAddress: "2", PPM: 40}
	gone := func(en limit.Entry) bool { return en.VM == "b" }
	bound := limit.Proof{BoundAddress: "1"}
	for name, tc := range map[string]struct {
		entries   []limit.Entry
		proof     limit.Proof
		want      map[id.VM]int64
		takenOver bool
	}{
		"free fraction":                               {[]limit.Entry{other}, bound, map[id.VM]int64{"a": 50, "b": 40}, false},
		"less free than wanted":                       {[]limit.Entry{{VM: "b", Incarnation: 1, PeerAddress: "2", PPM: 90}}, bound, map[id.VM]int64{"a": 10, "b": 90}, false},
		"earlier incarnation":                         {[]limit.Entry{old, other}, bound, map[id.VM]int64{"a": 50, "b": 40}, true},
		"earlier one without proof":                   {[]limit.Entry{old, other}, limit.Proof{}, map[id.VM]int64{"a": 50, "b": 40}, false},
		"free fraction before the entry of a gone VM": {[]limit.Entry{{VM: "b", Incarnation: 1, PeerAddress: "2", PPM: 70}}, limit.Proof{BoundAddress: "1", Gone: gone}, map[id.VM]int64{"a": 50, "b": 50}, true},
	} {
		rc := limit.NewRecord("north-a", 100)
		rc.Entries = tc.entries
		next, takenOver := rc.Join(self, 50, tc.proof)
		got := make(map[id.VM]int64)
		for _, en := range next.Entries {
			got[en.VM] += int64(en.PPM)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" || takenOver != tc.takenOver {
			t.Errorf("%s: taken over %v, fractions differ (-want +got):\n%s", name, takenOver, diff)
		}
		if _, err := limit.ParseRecord(next.Encode()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	rc := limit.NewRecord("north-a", 100)
	rc.Entries = []limit.Entry{old, other}
	if next, takenOver := rc.Reclaim(old.ID(), gone); !takenOver || next.Entries[0].PPM != 90 || len(next.Entries) != 1 {
		t.Errorf("reclaimed: %+v, taken over %v", next, takenOver)
	} else if next.Release(old.ID(), 50, 25) != next {
		t.Error("released a reclaimed fraction that may still be lent")
	}
}
