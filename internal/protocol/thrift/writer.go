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

// Response is the response to a `call` or `health` message. ExceptionKind and ResultField say what it is.
type Response struct {
	Method        string
	Seq           int32
	ExceptionKind int         // kind of an application exception, with ExceptionText; 0 is none
	ExceptionText string      // with ExceptionKind
	ResultField   int16       // of the result: 0 is served, 1 rejected, 2 failed
	Fields        [][2]string // names with values
	Body          []byte      // with ResultField 0
	Good          bool        // with ResultField 0
}

// EncodeResponse encodes a response as a frame with its length, in three pieces. The middle one is the body, which is
// not copied.
func EncodeResponse(response Response) [][]byte {
	head := make([]byte, frameHeaderSize, replyHeadSize+len(response.ExceptionText))
	head = append(head, replyHeader[:]...)
	if response.ExceptionKind != 0 {
		head[messageTypeOffset] = Exception
	}
	head = appendString(head, response.Method)
	head = binary.BigEndian.AppendUint32(head, uint32(response.Seq))
	var tail []byte
	switch {
	case response.ExceptionKind != 0:
		head = appendApplicationException(head, response.ExceptionKind, response.ExceptionText)
	case response.ResultField == resultServed:
		head = appendField(head, typeStruct, resultServed)
		head = appendField(head, typeString, servedBody)
		head = binary.BigEndian.AppendUint32(head, uint32(len(response.Body)))
		tail = appendServedTail(tail, response)
	default:
		head = appendField(head, typeStruct, response.ResultField)
		head = appendField(head, typeMap, exceptionFields)
		head = appendStringMap(head, response.Fields)
		head = append(head, typeStop, typeStop)
	}
	size := len(head) - frameHeaderSize + len(response.Body) + len(tail)
	binary.BigEndian.PutUint32(head, uint32(size))
	return [][]byte{head, response.Body, tail}
}

func appendApplicationException(out []byte, kind int, text string) []byte {
	out = appendField(out, typeString, applicationText)
	out = appendString(out, text)
	out = appendField(out, typeI32, applicationKind)
	out = binary.BigEndian.AppendUint32(out, uint32(kind))
	return append(out, typeStop)
}

// appendServedTail appends what follows the body of an object that is served.
func appendServedTail(out []byte, response Response) []byte {
	out = appendField(out, typeMap, servedFields)
	out = appendStringMap(out, response.Fields)
	out = appendField(out, typeBool, servedGood)
	return append(out, encodeBool(response.Good), typeStop, typeStop)
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
