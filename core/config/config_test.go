package config_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
)

const baseSource = `deployment: small
settings: {key_freshness: 0}
regions: [{name: north, capacity: 9, shift_cap: 90/min}, {name: south}]
failure_domains:
  - {name: north-a, region: north, entry_vms: 2}
  - {name: south-a, region: south, entry_vms: 1, drained: true}
links: [{from: north, to: south, both_ways: true, one_way: 1.5ms, capacity: 0.28Gbit/s}]
pools: [{name: desk, slots: 4, connections: 400}]
teams: [{name: lab, rate: 0.5/s, burst: 1.25, routes: [stock]}]
routes:
  - {name: stock, path: /stock/, methods: [GET], pool: desk, idempotent: true}
  - {name: home, path: /, methods: [GET], pool: desk, access: open}
  - {name: photos, path: /stock/photos, methods: [POST], pool: desk, max_body: 16MiB, deadline: 2min}
`

const overlaySource = `site: north-a
failure_domain: north-a
targets:
  - {name: w1, pool: desk, address: "127.0.0.1:1001"}
  - {name: w2, pool: desk, address: "127.0.0.1:1002", slots: 9, connections: 8, drained: true}
`

func sources(overlay string) *config.Sources {
	return &config.Sources{
		Base:     config.File{Name: "base.yaml", Content: []byte(baseSource)},
		Overlays: []config.File{{Name: "north-a.yaml", Content: []byte(overlay)}},
		Blocks:   []config.File{{Name: "blocks.txt", Content: []byte("10.0.0.0/8 north-a\n2001:db8::/32 north-a\n")}},
		Keys:     []config.File{{Name: "keys/0", Content: config.EncodeKeys([]config.Key{{Team: "lab"}})}},
	}
}

func TestMerge(t *testing.T) {
	Convey("Given a base and an overlay", t, func() {
		ef, err := sources(overlaySource).Merge()
		So(err, ShouldBeNil)

		Convey("quantities are converted to the units of the model", func() {
			So(ef.Regions[0].ShiftCap, ShouldEqual, 1500)
			So(ef.Links[0].Capacity, ShouldEqual, 280_000_000)
			So(ef.Links[0].OneWayDelay, ShouldEqual, 1500*time.Microsecond)
			So(ef.Teams[0].Rate, ShouldEqual, 500)
			So(ef.Teams[0].Burst, ShouldEqual, 1250)
			So(ef.Routes[2].MaxBodyBytes, ShouldEqual, 16<<20)
			So(ef.Routes[2].Deadline, ShouldEqual, 2*time.Minute)
		})
		Convey("missing fields get their defaults, an explicit zero stays zero", func() {
			So(ef.Settings, ShouldResemble, config.Settings{
				LookupTTL: config.DefaultLookupTTL, KeyFreshness: 0, LoanDuration: config.DefaultLoanDuration,
			})
			So(ef.Routes[0].Access, ShouldEqual, config.AccessTeams)
			So(ef.Routes[0].MaxBodyBytes, ShouldEqual, config.DefaultMaxBodyBytes)
			So(ef.Routes[2].Idempotent, ShouldBeFalse)
		})
		Convey("a target takes the limits of its pool unless the overlay sets its own", func() {
			So(ef.Sites[0].Targets, ShouldResemble, []config.Target{
				{Name: "w1", Pool: "desk", Address: "127.0.0.1:1001", Slots: 4, MaxConnections: 400},
				{Name: "w2", Pool: "desk", Address: "127.0.0.1:1002", Slots: 9, MaxConnections: 8, Drained: true},
			})
		})
		Convey("a drained site drains its targets", func() {
			ef, err := sources("drained: true\n" + overlaySource).Merge()
			So(err, ShouldBeNil)
			So(ef.Sites[0].Targets[0].Drained, ShouldBeTrue)
		})
		Convey("a link with both_ways becomes two links", func() {
			So(len(ef.Links), ShouldEqual, 2)
			So(ef.Links[1].From, ShouldEqual, id.Region("south"))
		})
		Convey("elements are found by name", func() {
			rg, ok := ef.RegionOf("south-a")
			So(ok, ShouldBeTrue)
			So(rg.Name, ShouldEqual, id.Region("south"))
			_, ok = ef.Team("nobody")
			So(ok, ShouldBeFalse)
		})
	})
}

// Guards against a prefix that matches in the middle of a path element, and a shorter prefix that takes precedence.
func TestRouteFor(t *testing.T) {
	ef, err := sources(overlaySource).Merge()
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ path, want string }{
		{"/", "home"}, {"/x", "home"}, {"/stock", "home"}, {"/stock/", "stock"}, {"/stock/1/2", "stock"},
		{"/stock/photos", "photos"}, {"/stock/photos/", "photos"}, {"/stock/photos/7", "photos"},
		{"/stock/photosX", "stock"}, {"", ""}, {"stock/", ""},
	} {
		var got string
		if rt, ok := ef.RouteFor(tc.path); ok {
			got = string(rt.Name)
		}
		if got != tc.want {
			t.Errorf("route of %q is %q, want %q", tc.path, got, tc.want)
		}
	}
}

// Guards against files that keep the parser busy for minutes or exhaust its stack. Without the limits on nesting, the
// parser did not finish the first file (200 kB) within two minutes.
func TestParserLimits(t *testing.T) {
	for _, unit := range []string{"[", "{a: ", "- ", "? ", "!!x ", "&a ", "[a,", "a: b\n", "x: [\n"} {
		_, err := config.ParseBase("base.yaml", []byte(strings.Repeat(unit, 200_000/len(unit))))
		var es config.Errors
		if !errors.As(err, &es) || len(es) != 1 {
			t.Errorf("%q repeated gives %.100v, want one error", unit, err)
		}
	}
	var deep strings.Builder
	for nr := range 1000 {
		fmt.Fprintf(&deep, "%sa:\n", strings.Repeat(" ", nr))
	}
	_, err := config.ParseBase("base.yaml", []byte(deep.String()))
	if err == nil || !strings.Contains(err.Error(), "base.yaml:101:101: the line is indented") {
		t.Errorf("deep indentation gives %.100v", err)
	}
}

func TestDiff(t *testing.T) {
	from, err := sources(overlaySource).Merge()
	if err != nil {
		t.Fatal(err)
	}
	src := sources("site: north-a\nfailure_domain: north-a\ntargets:\n" +
		"  - {name: w1, pool: desk, address: \"127.0.0.1:1001\", slots: 5}\n  - {name: w3, pool: desk, address: \"127.0.0.1:1003\"}\n")
	src.Blocks[0].Content = []byte("10.0.0.0/8 north-a\n")
	src.Keys = nil
	to, err := src.Merge()
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"~ target w1: slots 4 -> 5",
		"- target w2: site north-a, pool desk, address 127.0.0.1:1002, slots 9, connections 8, drained true",
		"+ target w3: site north-a, pool desk, address 127.0.0.1:1003, slots 4, connections 400, drained false",
		"- block 2001:db8::/32: site north-a",
		"- key 000000000000: team lab, state active",
	}
	var got []string
	for _, df := range config.Diff(from, to) {
		got = append(got, df.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differences (-want +got):\n%s", diff)
	}
	if dfs := config.Diff(from, from); len(dfs) != 0 {
		t.Errorf("a configuration differs from itself: %v", dfs)
	}
}

// Guards against parts from which a different configuration is built, and against damaged contents that are accepted.
func TestBuild(t *testing.T) {
	Convey("Given the parts of a configuration", t, func() {
		src := sources(overlaySource)
		parts, err := src.Parts()
		So(err, ShouldBeNil)
		for _, fl := range src.Keys {
			parts[fl.Name] = fl.Content
		}
		var none *config.Manifest
		mf := none.Next(config.Change{OperationID: "op-1", Author: "an"}, config.NewPartRefs(parts))
		contents := make(map[string][]byte)
		for name, content := range parts {
			contents[config.NewPartRef(name, content).SHA256] = content
		}

		Convey("Build returns the configuration", func() {
			ef, err := config.Build(mf, contents)
			So(err, ShouldBeNil)
			So(ef.Generation, ShouldEqual, id.Generation(1))
			want, err := src.Merge()
			So(err, ShouldBeNil)
			So(config.Diff(want, ef), ShouldBeEmpty)
		})
		Convey("Build refuses a part with changed content", func() {
			ref, _ := mf.Part(config.BasePartName)
			contents[ref.SHA256] = append([]byte("#"), contents[ref.SHA256]...)
			_, err := config.Build(mf, contents)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "base.yaml: the content does not match")
		})
		Convey("Build reports a part whose content is missing", func() {
			ref, _ := mf.Part("overlays/north-a.yaml")
			delete(contents, ref.SHA256)
			_, err := config.Build(mf, contents)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "overlays/north-a.yaml: the content "+ref.SHA256+" is missing")
		})
		Convey("a builder shares unchanged blocks and still validates their sites", func() {
			bd := new(config.Builder)
			first, err := bd.Build(mf, contents)
			So(err, ShouldBeNil)
			keys := config.EncodeKeys([]config.Key{{Team: "lab", Revoked: true}})
			contents[config.NewPartRef("keys/0", keys).SHA256] = keys
			refs := slices.DeleteFunc(slices.Clone(mf.Parts), func(pr config.PartRef) bool { return config.IsKeyPart(pr.Name) })
			next := mf.Next(config.Change{OperationID: "op-2"}, append(refs, config.NewPartRef("keys/0", keys)))
			second, err := bd.Build(next, contents)
			So(err, ShouldBeNil)
			So(&second.Blocks[0], ShouldEqual, &first.Blocks[0])
			So(second.Keys[0].Revoked, ShouldBeTrue)
			refs = slices.DeleteFunc(refs, func(pr config.PartRef) bool { return pr.Name == "overlays/north-a.yaml" })
			_, err = bd.Build(next.Next(config.Change{OperationID: "op-3"}, refs), contents)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, `site "north-a" is not declared`)
		})
		Convey("the manifest is unchanged after encoding and parsing", func() {
			back, err := config.ParseManifest(mf.Encode())
			So(err, ShouldBeNil)
			So(back, ShouldResemble, mf)
		})
	})
}

// Guards against a history that loses or repeats a generation when it reaches MaxHistory entries.
func TestManifestHistory(t *testing.T) {
	var mf *config.Manifest
	for nr := 1; nr <= config.MaxHistory+5; nr++ {
		mf = mf.Next(config.Change{OperationID: id.Operation(fmt.Sprint("op-", nr)), Author: "an"}, nil)
		back, err := config.ParseManifest(mf.Encode())
		if err != nil || back.Generation != id.Generation(nr) || len(back.History) != min(nr, config.MaxHistory) {
			t.Fatalf("generation %d: %v, %+v", nr, err, back)
		}
	}
	if !mf.HistoryCovers(5) || mf.HistoryCovers(4) {
		t.Errorf("a history from generation %d covers changes after 5: %v, after 4: %v", mf.History[0].Generation, mf.HistoryCovers(5), mf.HistoryCovers(4))
	}
	for _, src := range []string{
		`{}`, `[]`, `{"generation":1,"operation_id":"a","history":[]}`,
		`{"generation":2,"operation_id":"b","history":[{"generation":1,"operation_id":"b"}]}`,
		`{"generation":3,"operation_id":"b","history":[{"generation":1,"operation_id":"a"},{"generation":3,"operation_id":"b"}]}`,
		`{"generation":1,"operation_id":"a","parts":[{"name":"x"}],"history":[{"generation":1,"operation_id":"a"}]}`,
		string(mf.Encode()) + "{}",
	} {
		if _, err := config.ParseManifest([]byte(src)); err == nil {
			t.Errorf("accepted %s", src)
		}
	}
}

// designBlocks returns client blocks at the design size: 210,000 blocks for 46 sites. See section 1.4 of the design page.
func designBlocks() []config.ClientBlock {
	blocks := make([]config.ClientBlock, 210_000)
	for nr := range blocks {
		addr := netip.AddrFrom4([4]byte{10, byte(nr >> 12), byte(nr >> 4), byte(nr << 4)})
		blocks[nr] = config.ClientBlock{Prefix: netip.PrefixFrom(addr, 28), Site: id.Site(fmt.Sprintf("failure-domain-%02d-site", nr%46))}
	}
	return blocks
}

// Guards against parts that are too large for an object of the store at the design size, and against a change of one
// block that changes more than one part.
func TestPartsAtDesignSize(t *testing.T) {
	blocks := designBlocks()
	src := sources(overlaySource)
	src.Blocks[0].Content = config.EncodeBlocks(blocks)
	before, err := src.Parts()
	if err != nil {
		t.Fatal(err)
	}
	blocks[4711].Site = "failure-domain-00-site"
	src.Blocks[0].Content = config.EncodeBlocks(blocks)
	after, err := src.Parts()
	if err != nil {
		t.Fatal(err)
	}
	changed := 0
	for name := range after {
		if string(before[name]) != string(after[name]) {
			changed++
		}
	}
	if changed != 1 || len(before) != len(after) {
		t.Errorf("%d of %d parts changed with one block", changed, len(after))
	}
}

func BenchmarkParseBlocksDesignSize(bm *testing.B) {
	src := config.EncodeBlocks(designBlocks())
	bm.SetBytes(int64(len(src)))
	bm.ReportAllocs()
	for bm.Loop() {
		if _, err := config.ParseBlocks("blocks", src); err != nil {
			bm.Fatal(err)
		}
	}
}

// BenchmarkBuildDesignSize measures Build at the design size. A daemon calls it for every accepted change.
func BenchmarkBuildDesignSize(bm *testing.B) {
	src := sources(overlaySource)
	blocks := designBlocks()
	for nr := range blocks {
		blocks[nr].Site = "north-a"
	}
	src.Blocks[0].Content = config.EncodeBlocks(blocks)
	parts, err := src.Parts()
	if err != nil {
		bm.Fatal(err)
	}
	var none *config.Manifest
	mf := none.Next(config.Change{OperationID: "op-1"}, config.NewPartRefs(parts))
	contents := make(map[string][]byte)
	for name, content := range parts {
		contents[config.NewPartRef(name, content).SHA256] = content
	}
	bm.Run("changed blocks", func(bm *testing.B) {
		bm.ReportAllocs()
		for bm.Loop() {
			if _, err := config.Build(mf, contents); err != nil {
				bm.Fatal(err)
			}
		}
	})
	bm.Run("same blocks", func(bm *testing.B) {
		bm.ReportAllocs()
		bd := new(config.Builder)
		for bm.Loop() {
			if _, err := bd.Build(mf, contents); err != nil {
				bm.Fatal(err)
			}
		}
	})
}
