package thrift

import "encoding/binary"

// The identifiers of the fields of a reply's result.
const (
	resultServed = 0 // the others are the service's exceptions: 1 rejected, 2 failed
)

// The identifiers of the fields of an object that is served, of a service's exception, and of an application
// exception.
const (
	servedBody   = 1
	servedFields = 2
	servedGood   = 3

	exceptionFields = 1

	applicationText = 1
	applicationKind = 2
)

// Bytes of a reply beside its texts, as a first size of its buffer.
const replyHeadSize = 96

// The first word of a message as bytes; the last has the message's type.
var replyHeader = [4]byte{0x80, 0x01, 0x00, Reply}

const messageTypeOffset = frameHeaderSize + 3 // of the message's type in a frame with its length

// Answer is the response to a `call` or `health` message. Fault and Field say of which kind it is.
type Answer struct {
	Method string
	Seq    int32
	Fault  int         // kind of an application exception, with Text as its message; 0 is none
	Text   string      // with Fault
	Field  int16       // of the result: 0 is served, 1 rejected, 2 failed
	Fields [][2]string // names with values
	Body   []byte      // with Field 0
	Good   bool        // with Field 0
}

// Frame encodes an answer as a frame with its length, in three pieces. The middle one is the body, which is not
// copied.
func Frame(answer Answer) [][]byte {
	head := make([]byte, frameHeaderSize, replyHeadSize+len(answer.Text))
	head = append(head, replyHeader[:]...)
	if answer.Fault != 0 {
		head[messageTypeOffset] = Exception
	}
	head = appendString(head, answer.Method)
	head = binary.BigEndian.AppendUint32(head, uint32(answer.Seq))
	var tail []byte
	switch {
	case answer.Fault != 0:
		head = appendApplicationException(head, answer.Fault, answer.Text)
	case answer.Field == resultServed:
		head = appendField(head, typeStruct, resultServed)
		head = appendField(head, typeString, servedBody)
		head = binary.BigEndian.AppendUint32(head, uint32(len(answer.Body)))
		tail = appendServedTail(tail, answer)
	default:
		head = appendField(head, typeStruct, answer.Field)
		head = appendField(head, typeMap, exceptionFields)
		head = appendStringMap(head, answer.Fields)
		head = append(head, typeStop, typeStop)
	}
	size := len(head) - frameHeaderSize + len(answer.Body) + len(tail)
	binary.BigEndian.PutUint32(head, uint32(size))
	return [][]byte{head, answer.Body, tail}
}

func appendApplicationException(out []byte, kind int, text string) []byte {
	out = appendField(out, typeString, applicationText)
	out = appendString(out, text)
	out = appendField(out, typeI32, applicationKind)
	out = binary.BigEndian.AppendUint32(out, uint32(kind))
	return append(out, typeStop)
}

// appendServedTail appends what follows the body of an object that is served.
func appendServedTail(out []byte, a Answer) []byte {
	out = appendField(out, typeMap, servedFields)
	out = appendStringMap(out, a.Fields)
	out = appendField(out, typeBool, servedGood)
	return append(out, encodeBool(a.Good), typeStop, typeStop)
}

func encodeBool(value bool) byte {
	if value {
		return 1
	}
	return 0
}

func appendField(out []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(out, kind), uint16(id))
}

func appendString(out []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(s))), s...)
}

func appendStringMap(out []byte, entries [][2]string) []byte {
	out = append(out, typeString, typeString)
	out = binary.BigEndian.AppendUint32(out, uint32(len(entries)))
	for _, entry := range entries {
		out = appendString(out, entry[0])
		out = appendString(out, entry[1])
	}
	return out
}
