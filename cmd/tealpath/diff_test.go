package main

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"tealpath/internal/emulator/certificates"
	"tealpath/internal/testkit"
)

// diffFile is an operator's file. Left open are the voters and the number of slots.
const diffFile = `(fleet
 (instances (instance a (at "127.0.0.1:1")) (instance b (at "127.0.0.1:2")) (instance c (at "127.0.0.1:3")))
 (voters %s) (slots %d)
 (tls (certificate "a.pem") (key "a.key") (roots "roots.pem")) (allow "127.0.0.0/8"))`

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
		testkit.WriteFile(t, path, fmt.Appendf(nil, diffFile, voters, slots))
		return path
	}
	const sideBySide = "may not run side by side"
	one := file("one", 64, "(epoch 1) (now a b c)")
	fewer := file("two", 64, "(epoch 2) (now a b) (before a b c)")
	otherSlots := file("three", 32, "(epoch 1) (now a b c)")
	otherVoters := file("four", 64, "(epoch 1) (now a b)")
	for _, c := range []struct {
		name      string
		arguments []string
		code      int
		says      string
	}{
		{"the same", []string{one, one}, 0, ""},
		{"one voter less, an epoch on", []string{one, fewer}, 0, ""},
		{"other slots", []string{one, otherSlots}, exitFailed, sideBySide},
		{"other voters under one epoch", []string{one, otherVoters}, exitFailed, sideBySide},
		{"back", []string{fewer, one}, exitFailed, "can't follow"},
		{"as JSON", []string{"--json", one, otherSlots}, exitFailed, sideBySide},
		{"one file", []string{one}, exitUsage, "two operator's files"},
		{"no such file", []string{one, filepath.Join(dir, "none")}, exitUsage, "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := app().Run(context.Background(), append([]string{"tealpath", "diff"}, c.arguments...))
			expectExit(t, err, c.code, c.says)
		})
	}
}
