package upstream

import (
	"strconv"
	"strings"
	"time"

	"tealpath/control"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

// Commands to an endpoint: the first string of each array that the router sends.
const (
	commandFetch = "fetch"
	commandAbort = "abort"
	commandAlive = "alive"
)

// fetchHeadSize is the capacity, in bytes, that is allocated for a fetch command in addition to its fields and body.
const fetchHeadSize = 96

// encodeFetch encodes the command that requests an object. budget is the time left for the response, in ns. The class,
// object, part, ID and body are passed on as the client sent them.
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
	out = resp.AppendArrayHeader(out, 4)
	out = resp.AppendString(out, commandFetch)
	out = resp.AppendString(out, request.ID)
	out = resp.AppendString(out, fields.text.String())
	return resp.AppendString(out, request.Body)
}

// encodeAbort returns the command that tells an endpoint to stop working on the request with the given ID.
func encodeAbort(id string) []byte { return encodeCommand(commandAbort, id) }

// encodeAlive returns the command of a health check. The endpoint repeats the ID in its response.
func encodeAlive(id string) []byte { return encodeCommand(commandAlive, id) }

func encodeCommand(command, id string) []byte {
	out := resp.AppendArrayHeader(nil, 2)
	out = resp.AppendString(out, command)
	return resp.AppendString(out, id)
}

// fieldList builds the fields of a command: name=value pairs separated by commas.
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

// addFill adds the fields that tell a cache which source to fill a missing object from, and how.
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

// fillFlags returns the words for the options of a fill that are set, joined by plus signs, or "" if none is set.
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

// milliseconds formats ns as whole milliseconds, rounded down but at least 1, because endpoints take 0 for a field
// that is not set.
func milliseconds(ns int64) string {
	return strconv.FormatInt(max(ns/int64(time.Millisecond), 1), 10)
}
