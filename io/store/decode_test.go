package store

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against responses that are accepted although a field is missing, out of range or belongs to another request.
func TestDecodersRefuse(t *testing.T) {
	vm := `{"vm":"a","failure_domain":"f","peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2","state":"live"}`
	lists := map[string]bool{
		`{"revision":2,"objects":[{"key":"p/a","version":2,"size":1}]}`: true,
		`{"revision":0,"objects":null,"added_later":1}`:                 true,
		`{"objects":[]}`:    false,
		`{"revision":2} {}`: false,
		`{"revision":1,"objects":[{"key":"p/a","version":2,"size":1}]}`:  false,
		`{"revision":2,"objects":[{"key":"q/a","version":2,"size":1}]}`:  false,
		`{"revision":2,"objects":[{"key":"p/a","version":0,"size":1}]}`:  false,
		`{"revision":2,"objects":[{"key":"p/a","version":2,"size":-1}]}`: false,
		`{"revision":-2,"objects":[]}`:                                   false,
	}
	watches := map[string]bool{
		`{"revision":9,"changes":[{"key":"p/a","version":8,"deleted":true}]}`: true,
		`{"revision":3,"changes":[]}`:                                         true,
		`{"revision":9,"changes":[{"key":"p/a","version":5}]}`:                false,
		`{"revision":9,"changes":[{"key":"p/../a","version":8}]}`:             false,
		`{"changes":[]}`: false,
	}
	vms := map[string]bool{
		`{"vms":[` + vm + `]}`:            true,
		`{"vms":[]}`:                      true,
		`{}`:                              false,
		`{"vms":[` + vm + `,` + vm + `]}`: false,
		`{"vms":[` + strings.Replace(vm, "live", "gone", 1) + `]}`:                  false,
		`{"vms":[` + strings.Replace(vm, "127.0.0.1:1", "host.example:1", 1) + `]}`: false,
	}
	etags := map[string]bool{`"1"`: true, `"18446744073709551615"`: true, `"18446744073709551616"`: false,
		`"0"`: false, `"01"`: false, `W/"1"`: false, `1`: false, `""`: false}
	Convey("Decoders accept only valid responses", t, func() {
		for src, valid := range lists {
			_, _, err := decodeList([]byte(src), "p/")
			So(src+errText(err, valid), ShouldEqual, src)
		}
		for src, valid := range watches {
			_, _, err := decodeWatch([]byte(src), "p/", 5)
			So(src+errText(err, valid), ShouldEqual, src)
		}
		for src, valid := range vms {
			_, err := decodeVMs([]byte(src))
			So(src+errText(err, valid), ShouldEqual, src)
		}
		for src, valid := range etags {
			_, err := parseETag(src)
			So(src+errText(err, valid), ShouldEqual, src)
		}
	})
}

// errText returns the empty string if the error is as expected, and a description otherwise.
func errText(err error, valid bool) string {
	switch {
	case valid && err != nil:
		return ": " + err.Error()
	case !valid && err == nil:
		return ": accepted"
	default:
		return ""
	}
}

// Guards against decoders that panic or return invalid entries.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":9,"changes":[{"key":"p/a","version":8,"deleted":true}],"objects":[{"key":"p/b","version":1}]}`))
	f.Add([]byte(`{"vms":[{"vm":"a","failure_domain":"f","peer_address":"127.0.0.1:1","caller_address":"[::1]:2","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		if infos, revision, err := decodeList(src, "p/"); err == nil {
			for _, info := range infos {
				if !strings.HasPrefix(info.Key, "p/") || info.Version == 0 || info.Version > revision {
					t.Errorf("decodeList accepts %+v at revision %d", info, revision)
				}
			}
		}
		if changes, revision, err := decodeWatch(src, "p/", 5); err == nil {
			for _, ch := range changes {
				if !strings.HasPrefix(ch.Key, "p/") || ch.Version <= 5 || ch.Version > revision {
					t.Errorf("decodeWatch accepts %+v at revision %d", ch, revision)
				}
			}
		}
		if recs, err := decodeVMs(src); err == nil {
			for _, rec := range recs {
				if err := rec.Validate(); err != nil {
					t.Error(err)
				}
			}
		}
	})
}

// Guards against an ETag that is accepted in a form other than the one that formatETag returns.
func FuzzETag(f *testing.F) {
	f.Add(`"12"`)
	f.Fuzz(func(t *testing.T, etag string) {
		if vs, err := parseETag(etag); err == nil && formatETag(vs) != etag {
			t.Errorf("%s is read as %d", etag, vs)
		}
	})
}
