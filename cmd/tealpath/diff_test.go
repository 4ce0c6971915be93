package main

import (
	"context"
	"fmt"
	"path/filepath"
	"tealpath/internal/emulator/certificates"
	"tealpath/internal/testkit"
	"testing"
	"time"
)

// Two operator's files, as an operator would hold them against each other before a change.
func TestDiff(t *testing.T) {
	dir := t.TempDir()
	root, err := certificates.NewRoot("root")
	if err != nil {
		t.Fatal(err)
	}
	if err := root.Write(dir, "a", time.Now().Add(time.Hour), root); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_NAME", "a")
	file := func(name string, slots int, voters string) string {
		path := filepath.Join(dir, name)
		text := fmt.Sprintf(`(fleet (instances (instance a (at "127.0.0.1:1")) (instance b (at "127.0.0.1:2")) (instance c (at "127.0.0.1:3")))
 (voters %s) (slots %d) (tls (certificate "a.pem") (key "a.key") (roots "roots.pem")) (allow "127.0.0.0/8"))`, voters, slots)
		testkit.WriteFile(t, path, []byte(text))
		return path
	}
	one := file("one", 64, "(epoch 1) (now a b c)")
	for _, c := range []struct {
		name      string
		arguments []string
		code      int
		says      string
	}{
		{"the same", []string{one, one}, 0, ""},
		{"one voter less, an epoch on", []string{one, file("two", 64, "(epoch 2) (now a b) (before a b c)")}, 0, ""},
		{"other slots", []string{one, file("three", 32, "(epoch 1) (now a b c)")}, exitFailed, "may not run side by side"},
		{"other voters under one epoch", []string{one, file("four", 64, "(epoch 1) (now a b)")}, exitFailed, "may not run side by side"},
		{"back", []string{filepath.Join(dir, "two"), one}, exitFailed, "can't follow"},
		{"as JSON", []string{"--json", one, filepath.Join(dir, "three")}, exitFailed, "may not run side by side"},
		{"one file", []string{one}, exitUsage, "two operator's files"},
		{"no such file", []string{one, filepath.Join(dir, "none")}, exitUsage, "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := app().Run(context.Background(), append([]string{"tealpath", "diff"}, c.arguments...))
			expectExit(t, err, c.code, c.says)
		})
	}
}
