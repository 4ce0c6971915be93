package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a case, as exit codes of its script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// play plays a case: it reports whether the rule was broken. trouble is false if the disruption is left out.
type play func(log *record, folder string, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"slow-writer":      slowWriter,
	"events-in-pieces": eventsInPieces,
	"burst":            burst,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER, from the root of the project")
		os.Exit(couldntRun)
	}
	started.endOnSignal()
	code := run(plays[os.Args[1]], os.Args[2])
	started.end()
	os.Exit(code)
}

// run plays a case, and ends it if it takes too long.
func run(played play, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	defer os.RemoveAll(temporary)
	trouble := os.Getenv("TROUBLE") != "0"
	log.line("the disruption takes place: %t", trouble)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := played(log, temporary, trouble)
		ended <- outcome{broken, err}
	}()
	var result outcome
	select {
	case result = <-ended:
	case <-time.After(110 * time.Second):
		result.err = errors.New("the case takes longer than 110 s")
	}
	switch {
	case result.err != nil:
		log.say("the case could not run: %v", result.err)
		return couldntRun
	case result.broken:
		log.say("the rule was broken")
		return ruleBroken
	}
	log.say("the rule held")
	return ruleHeld
}
