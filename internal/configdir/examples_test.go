package configdir_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/configdir"
)

const examples = "../../examples"

// Guards against examples that differ from the deployments in section 1 of the design page.
func TestExamples(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		port, callers, peers int
		store                string
		pool                 id.Pool
		slots                int
	}{
		{name: "sang_den", port: 21000, callers: 17000, peers: 17100, store: "127.0.0.1:16000", pool: "parts-desk", slots: 4},
		{name: "enguia_do_sul", port: 22000, callers: 18000, peers: 18100, store: "127.0.0.1:16500", pool: "balcao", slots: 6},
	} {
		ef, _, err := configdir.Load(filepath.Join(examples, tc.name))
		if err != nil {
			t.Fatal(err)
		}
		if len(ef.Regions) != 3 || len(ef.FailureDomains) != 6 || len(ef.Links) != 6 || len(ef.Teams) != 8 || len(ef.Sites) != 6 {
			t.Errorf("%s: %d regions, %d failure domains, %d links, %d teams, %d sites", tc.name,
				len(ef.Regions), len(ef.FailureDomains), len(ef.Links), len(ef.Teams), len(ef.Sites))
		}
		workers := map[int]int{}
		nr := 0
		for _, fd := range ef.FailureDomains {
			site, ok := ef.Site(id.Site(fd.Name))
			if !ok {
				t.Fatalf("%s: no site %s", tc.name, fd.Name)
			}
			for _, tg := range site.Targets {
				nr++
				if want := fmt.Sprintf("127.0.0.1:%d", tc.port+nr); tg.Address != want {
					t.Errorf("%s: target %s has address %s, want %s", tc.name, tg.Name, tg.Address, want)
				}
				workers[tg.Slots]++
				if (tg.Pool == tc.pool) != (tg.Slots == tc.slots) || tg.MaxConnections != 400 {
					t.Errorf("%s: target %s has %d slots and %d connections", tc.name, tg.Name, tg.Slots, tg.MaxConnections)
				}
			}
		}
		if workers[tc.slots] != 30 || workers[3] != 12 {
			t.Errorf("%s: workers by slots are %v, want 30 and 12", tc.name, workers)
		}
		checkSettings(t, ef, tc.name, tc.callers, tc.peers, tc.store)
	}
}

func checkSettings(t *testing.T, ef *config.Effective, name string, callers, peers int, store string) {
	t.Helper()
	nr := 0
	for _, fd := range ef.FailureDomains {
		for vm := 1; vm <= fd.EntryVMs; vm++ {
			nr++
			file := filepath.Join(examples, name, "settings", fmt.Sprintf("%s-%d.yaml", fd.Name, vm))
			src, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			ds, err := config.ParseDaemonSettings(file, src, os.ReadFile)
			if err != nil {
				t.Fatal(err)
			}
			if ds.FailureDomain != fd.Name || ds.StoreAddress != store ||
				ds.CallerAddress != fmt.Sprintf("127.0.0.1:%d", callers+nr) ||
				ds.PeerAddress != fmt.Sprintf("127.0.0.1:%d", peers+nr) {
				t.Errorf("%s: settings of %s are %s %s %s %s", name, ds.VM, ds.FailureDomain, ds.CallerAddress, ds.PeerAddress, ds.StoreAddress)
			}
		}
	}
	if nr != 12 {
		t.Errorf("%s: %d entry VMs, want 12", name, nr)
	}
}

// Guards against a missing file that silently removes a part of the configuration.
func TestMissingFiles(t *testing.T) {
	_, err := configdir.Read(t.TempDir(), true)
	var es config.Errors
	if !errors.As(err, &es) || len(es) != 3 {
		t.Fatalf("errors of an empty directory: %v, want base, blocks and overlays", err)
	}
}
