package config_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"damasklatch/core/config"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against faults that are not reported, are reported at a wrong place, or hide other faults. Each archive
// holds the files of a configuration and the faults expected.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no archives: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := faults(t, ar)
			last := &ar.Files[len(ar.Files)-1]
			if last.Name != "faults" {
				t.Fatalf("the last file is %q, not \"faults\"", last.Name)
			}
			if *update {
				last.Data = []byte(got)
				if err := os.WriteFile(file, txtar.Format(ar), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(last.Data), got); diff != "" {
				t.Errorf("faults differ (-want +got):\n%s", diff)
			}
		})
	}
}

func faults(t *testing.T, ar *txtar.Archive) string {
	t.Helper()
	var src config.Sources
	for _, fl := range ar.Files {
		cf := config.File{Name: fl.Name, Content: fl.Data}
		switch {
		case fl.Name == "settings.yaml":
			_, err := config.ParseDaemonSettings(fl.Name, fl.Data, noFile)
			return message(err)
		case fl.Name == "base.yaml":
			src.Base = cf
		case fl.Name == "blocks.txt":
			src.Blocks = append(src.Blocks, cf)
		case strings.HasPrefix(fl.Name, "overlays/"):
			src.Overlays = append(src.Overlays, cf)
		case strings.HasPrefix(fl.Name, "keys/"):
			src.Keys = append(src.Keys, cf)
		}
	}
	_, err := src.Merge()
	return message(err)
}

func message(err error) string {
	if err == nil {
		return "none\n"
	}
	return err.Error() + "\n"
}

func noFile(path string) ([]byte, error) {
	return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
}
