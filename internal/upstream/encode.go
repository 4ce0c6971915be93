package upstream

import (
	"strconv"
	"strings"
	"time"

	"tealpath/control"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

// The first words of what is sent to an endpoint.
const (
	commandFetch = "fetch"
	commandAbort = "abort"
	commandAlive = "alive"
)

// fetchHeadSize is about how long a fetch command is without its fields and its body.
const fetchHeadSize = 96

// encodeFetch returns the command that requests an object, with a response due within budget ns. The class,
// the object, the part, the id and the body are the client's own bytes.
func encodeFetch(request router.UpstreamRequest, budget int64) []byte {
	var fields fieldList
	fields.add("queue", request.Class)
	fields.add("path", request.Object)
	fields.add("blk", request.Part)
	fields.add("budget", milliseconds(budget))
	if request.Source != "" {
		fields.addFill(request.Source, request.Attempt)
	}
	fields.addUnlessEmpty("mine", request.ClientETag)
	fields.addUnlessEmpty("uniq", request.IdempotencyKey)
	out := make([]byte, 0, fetchHeadSize+fields.text.Len()+len(request.Body))
	out = resp.Head(out, 4)
	out = resp.Text(out, commandFetch)
	out = resp.Text(out, request.ID)
	out = resp.Text(out, fields.text.String())
	return resp.Text(out, request.Body)
}

// encodeAbort returns the command by which an endpoint stops working on a request.
func encodeAbort(id string) []byte { return encodeCommand(commandAbort, id) }

// encodeAlive returns the command of a health check.
func encodeAlive(id string) []byte { return encodeCommand(commandAlive, id) }

func encodeCommand(command, id string) []byte {
	out := resp.Head(nil, 2)
	out = resp.Text(out, command)
	return resp.Text(out, id)
}

// fieldList is the fields of a command, as name=value with commas between them.
type fieldList struct{ text strings.Builder }

func (l *fieldList) add(name, value string) {
	if l.text.Len() > 0 {
		l.text.WriteByte(',')
	}
	l.text.WriteString(name)
	l.text.WriteByte('=')
	l.text.WriteString(value)
}

func (l *fieldList) addUnlessEmpty(name, value string) {
	if value != "" {
		l.add(name, value)
	}
}

// addFill adds from where and how a cache fills the object if it is not cached.
func (l *fieldList) addFill(source string, attempt control.Attempt) {
	l.add("miss", source)
	if attempt.CachePriority > 0 {
		l.add("prio", strconv.FormatInt(attempt.CachePriority, 10))
	}
	if attempt.MaxAge > 0 {
		l.add("within", milliseconds(attempt.MaxAge))
	}
	l.addUnlessEmpty("f", fillFlags(attempt))
}

// fillFlags returns how a cache fills the object, as words with a plus between them.
func fillFlags(attempt control.Attempt) string {
	var flags []string
	if attempt.JoinFill {
		flags = append(flags, "ride")
	}
	if attempt.ParentOnlyIfCached {
		flags = append(flags, "have-only")
	}
	if attempt.ParentNoStore {
		flags = append(flags, "through")
	}
	if attempt.RefreshBehind {
		flags = append(flags, "update")
	}
	return strings.Join(flags, "+")
}

// milliseconds returns a number of ns in whole ms, at least 1: 0 would mean that the field is not set.
func milliseconds(ns int64) string {
	return strconv.FormatInt(max(ns/int64(time.Millisecond), 1), 10)
}
