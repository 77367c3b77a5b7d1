package configdir_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"damasklatch/core/config"
)

var (
	blockPattern = regexp.MustCompile("(?s)```[a-z]+ ([a-z]+)\n(.*?)```")
	knownPattern = regexp.MustCompile(`known fields: (.*)`)
)

// Guards against examples in docs/configuration.md that are not valid, and against fields that the page does not mention.
func TestReferenceExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	example := map[string][]byte{}
	for _, match := range blockPattern.FindAllSubmatch(page, -1) {
		example[string(match[1])] = match[2]
	}
	src := config.Sources{
		Base:     config.File{Name: "base.yaml", Content: example["base"]},
		Overlays: []config.File{{Name: "north-a.yaml", Content: example["overlay"]}},
		Blocks:   []config.File{{Name: "blocks.txt", Content: example["blocks"]}},
	}
	ef, err := src.Merge()
	if err != nil {
		t.Fatalf("the examples are not valid:\n%v", err)
	}
	if len(ef.Blocks) != 3 || len(ef.Sites) != 1 || len(ef.Routes) != 3 {
		t.Errorf("the examples give %d blocks, %d sites, %d routes", len(ef.Blocks), len(ef.Sites), len(ef.Routes))
	}
	secret := func(string) ([]byte, error) { return []byte(strings.Repeat("x", 32)), nil }
	if _, err := config.ParseDaemonSettings("settings.yaml", example["settings"], secret); err != nil {
		t.Errorf("the settings are not valid:\n%v", err)
	}

	// Add an unknown field to every mapping of the examples, so that the errors list the known fields.
	for name, parse := range map[string]func([]byte) error{
		"base":     func(src []byte) error { _, err := config.ParseBase("f", src); return err },
		"overlay":  func(src []byte) error { _, err := config.ParseOverlay("f", src); return err },
		"settings": func(src []byte) error { _, err := config.ParseDaemonSettings("f", src, secret); return err },
	} {
		text := "unknown: 1\n" + string(example[name])
		text = strings.ReplaceAll(text, "- name:", "- unknown: 1\n    name:")
		text = strings.ReplaceAll(text, "- {", "- {unknown: 1, ")
		text = strings.ReplaceAll(text, "settings:\n", "settings:\n  unknown: 1\n")
		var es config.Errors
		if !errors.As(parse([]byte(text)), &es) {
			t.Fatalf("%s: unknown fields are accepted", name)
		}
		for _, er := range es {
			match := knownPattern.FindStringSubmatch(er.Message)
			if match == nil {
				t.Fatalf("%s: unexpected error %v", name, er)
			}
			for _, field := range strings.Split(match[1], ", ") {
				if !strings.Contains(string(page), "`"+field+"`") {
					t.Errorf("the reference does not mention field %q of %s", field, name)
				}
			}
		}
	}
}
