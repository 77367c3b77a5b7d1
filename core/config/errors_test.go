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

// Guards against errors that are not reported, are reported at a wrong position, or suppress other errors. Each archive
// holds the files of a configuration, or a settings file, and in its last file the expected errors.
func TestErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/errors/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no archives: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := mergeErrors(t, ar)
			last := &ar.Files[len(ar.Files)-1]
			if last.Name != "errors" {
				t.Fatalf("the last file is %q, not \"errors\"", last.Name)
			}
			if *update {
				last.Data = []byte(got)
				if err := os.WriteFile(file, txtar.Format(ar), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(last.Data), got); diff != "" {
				t.Errorf("errors differ (-want +got):\n%s", diff)
			}
		})
	}
}

// mergeErrors parses the files of an archive and returns the reported errors, one a line.
func mergeErrors(t *testing.T, ar *txtar.Archive) string {
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

// message returns the text of an error in the format of the archives.
func message(err error) string {
	if err == nil {
		return "none\n"
	}
	return err.Error() + "\n"
}

// noFile is a readFile function that finds no file.
func noFile(path string) ([]byte, error) {
	return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
}
