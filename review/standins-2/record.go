package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a script notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable("%v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the result, ends all processes and exits: with 1 if the rule was broken.
func (r *record) verdict(broken bool, format string, args ...any) {
	text := "the rule held: "
	code := 0
	if broken {
		text, code = "the rule was broken: ", 1
	}
	text += fmt.Sprintf(format, args...)
	r.line("%s", text)
	fmt.Println(text)
	r.file.Close()
	stopAll()
	os.Exit(code)
}
