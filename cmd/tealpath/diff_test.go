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

// diffFile is the format of an operator's file. Its arguments are the voters and the number of slots.
const diffFile = `(fleet
 (instances (instance a (at "127.0.0.1:1")) (instance b (at "127.0.0.1:2")) (instance c (at "127.0.0.1:3")))
 (voters %s) (slots %d)
 (tls (certificate "a.pem") (key "a.key") (roots "roots.pem")) (allow "127.0.0.0/8"))`

// The command diff compares two operator's files and fails if instances with one file may not run
// side by side with instances with the other.
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
		wantError string // part of the error
	}{
		{"the same file", []string{one, one}, 0, ""},
		{"one voter less in the next epoch", []string{one, fewer}, 0, ""},
		{"other slots", []string{one, otherSlots}, exitFailed, sideBySide},
		{"other voters in the same epoch", []string{one, otherVoters}, exitFailed, sideBySide},
		{"back to an earlier epoch", []string{fewer, one}, exitFailed, "can't follow"},
		{"as JSON", []string{"--json", one, otherSlots}, exitFailed, sideBySide},
		{"one file", []string{one}, exitUsage, "two operator's files"},
		{"missing file", []string{one, filepath.Join(dir, "none")}, exitUsage, "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := app().Run(context.Background(), append([]string{"tealpath", "diff"}, c.arguments...))
			expectExit(t, err, c.code, c.wantError)
		})
	}
}
