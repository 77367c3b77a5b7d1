package configdir

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"damasklatch/core/config"
)

func smallSources(base, overlay string) *config.Sources {
	return &config.Sources{
		Base:     config.File{Name: "base.yaml", Content: []byte(base)},
		Overlays: []config.File{{Name: "overlays/north-a.yaml", Content: []byte(overlay)}},
		Blocks:   []config.File{{Name: "blocks.txt", Content: []byte("10.0.0.0/8 north-a\n")}},
	}
}

const (
	smallBase = "deployment: small\nregions: [{name: north}]\n" +
		"failure_domains: [{name: north-a, region: north, entry_vms: 1}]\npools: [{name: desk, slots: 1, connections: 1}]\n"
	smallHead = "site: north-a\nfailure_domain: north-a\n"
)

// Guards against an edit that changes comments, line endings or the style of a file, and against an undo that does not
// remove the field.
func TestSetDrainedForms(t *testing.T) {
	target := Element{KindTarget, "t1"}
	for name, tc := range map[string]struct {
		before, after string
		undone        string // content after the undo, if it differs from before
	}{
		"block": {
			before: smallHead + "targets:\n  # old\n  - name: t1 # é\n    pool: desk\n    address: 127.0.0.1:1\n",
			after:  smallHead + "targets:\n  # old\n  - name: t1 # é\n    drained: true\n    pool: desk\n    address: 127.0.0.1:1\n",
		},
		"flow": {
			before: smallHead + "targets: [{pool: desk, name: t1 , address: '127.0.0.1:1'}] # é\n",
			after:  smallHead + "targets: [{pool: desk, name: t1, drained: true , address: '127.0.0.1:1'}] # é\n",
		},
		"flow on several lines": {
			before: smallHead + "targets: [\n  {name: \"t1\",\n   pool: desk, address: '127.0.0.1:1',},\n]\n",
			after:  smallHead + "targets: [\n  {name: \"t1\", drained: true,\n   pool: desk, address: '127.0.0.1:1',},\n]\n",
		},
		"carriage returns": {
			before: "site: north-a\r\nfailure_domain: north-a\r\ntargets:\r\n- name: t1\r\n  pool: desk\r\n  address: 127.0.0.1:1\r\n",
			after:  "site: north-a\r\nfailure_domain: north-a\r\ntargets:\r\n- name: t1\r\n  drained: true\r\n  pool: desk\r\n  address: 127.0.0.1:1\r\n",
		},
		"no line end": {
			before: smallHead + "targets:\n  - pool: desk\n    address: 127.0.0.1:1\n    name: 't1'",
			after:  smallHead + "targets:\n  - pool: desk\n    address: 127.0.0.1:1\n    name: 't1'\n    drained: true",
		},
		"written as false with a comment": {
			before: smallHead + "targets:\n  - name: t1\n    drained: false # planned\n    pool: desk\n    address: 127.0.0.1:1\n",
			after:  smallHead + "targets:\n  - name: t1\n    drained: true # planned\n    pool: desk\n    address: 127.0.0.1:1\n",
			undone: smallHead + "targets:\n  - name: t1\n    # planned\n    pool: desk\n    address: 127.0.0.1:1\n",
		},
		"first field": {
			before: smallHead + "targets:\n  - drained: false\n    name: t1\n    pool: desk\n    address: 127.0.0.1:1\n",
			after:  smallHead + "targets:\n  - drained: true\n    name: t1\n    pool: desk\n    address: 127.0.0.1:1\n",
		},
		"first field in flow style": {
			before: smallHead + "targets: [{drained: false, name: t1, pool: desk, address: '127.0.0.1:1'}]\n",
			after:  smallHead + "targets: [{drained: true, name: t1, pool: desk, address: '127.0.0.1:1'}]\n",
			undone: smallHead + "targets: [{name: t1, pool: desk, address: '127.0.0.1:1'}]\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.undone == "" {
				tc.undone = tc.before
			}
			ed, err := SetDrained(smallSources(smallBase, tc.before), target, true)
			if err != nil {
				t.Fatal(err)
			}
			if string(ed.After) != tc.after {
				t.Fatalf("drained:\n%q\nwant\n%q", ed.After, tc.after)
			}
			ed, err = SetDrained(smallSources(smallBase, tc.after), target, false)
			if err != nil {
				t.Fatal(err)
			}
			if string(ed.After) != tc.undone {
				t.Fatalf("undone:\n%q\nwant\n%q", ed.After, tc.undone)
			}
		})
	}
}

// Guards against an edit of an element written in an unsupported way, which would change the wrong bytes.
func TestSetDrainedRefusesUnknownForm(t *testing.T) {
	src := smallSources(smallBase, smallHead+"targets:\n  - name: \"\\x74\\x31\"\n    pool: desk\n    address: 127.0.0.1:1\n")
	ed, err := SetDrained(src, Element{KindTarget, "t1"}, true)
	if err == nil || !strings.Contains(err.Error(), "by hand") {
		t.Fatalf("edit %v, error %v", ed, err)
	}
}

// Guards against elements of the examples that can't be drained, or whose undo does not restore the file.
func TestSetDrainedExamples(t *testing.T) {
	for _, dir := range []string{"../../examples/sang_den", "../../examples/enguia_do_sul"} {
		ef, src, err := Load(dir)
		if err != nil {
			t.Fatal(err)
		}
		var els []Element
		for _, rg := range ef.Regions {
			els = append(els, Element{KindRegion, string(rg.Name)})
		}
		for _, fd := range ef.FailureDomains {
			els = append(els, Element{KindFailureDomain, string(fd.Name)})
		}
		for _, st := range ef.Sites {
			els = append(els, Element{KindSite, string(st.Name)}, Element{KindTarget, string(st.Targets[0].Name)})
		}
		for _, el := range els {
			ed, err := SetDrained(src, el, true)
			if err != nil || !ed.HasChanges() || len(ed.Added) != 1 || len(ed.Removed) != 0 {
				t.Fatalf("%s: %+v, error %v", el, ed, err)
			}
			files := append([]config.File{src.Base}, src.Overlays...)
			for nr := range files {
				if files[nr].Name == ed.File {
					files[nr].Content = ed.After
				}
			}
			undo, err := SetDrained(&config.Sources{Base: files[0], Overlays: files[1:], Blocks: src.Blocks}, el, false)
			if err != nil || string(undo.After) != string(ed.Before) {
				t.Fatalf("undo of %s: error %v\n%s", el, err, undo.After)
			}
		}
	}
}

// Guards against overwriting a concurrent change of the file, and against temporary files that are not removed.
func TestWriteDetectsChange(t *testing.T) {
	name := filepath.Join(t.TempDir(), "base.yaml")
	if err := os.WriteFile(name, []byte("new"), 0o640); err != nil {
		t.Fatal(err)
	}
	if err := (&Edit{File: name, Before: []byte("old"), After: []byte("mine")}).Write(); err == nil {
		t.Fatal("the change of the other program is overwritten")
	}
	if err := (&Edit{File: name, Before: []byte("new"), After: []byte("mine")}).Write(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(name)
	if err != nil || string(content) != "mine" {
		t.Fatalf("content %q, error %v", content, err)
	}
	entries, err := os.ReadDir(filepath.Dir(name))
	if err != nil || len(entries) != 1 {
		t.Fatalf("files %v, error %v", entries, err)
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o640 {
		t.Fatalf("mode %v, error %v", info.Mode(), err)
	}
}
