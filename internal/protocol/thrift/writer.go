package thrift

import "encoding/binary"

// Field identifier of a served result in the result struct of a method. The others are exceptions of the service: 1
// rejected, 2 failed.
const (
	resultServed = 0
)

// Field identifiers in the struct of a served object, in a service exception and in an application exception.
const (
	servedBody   = 1
	servedFields = 2
	servedGood   = 3

	exceptionFields = 1

	applicationText = 1
	applicationKind = 2
)

// replyHeadSize is the capacity, in bytes, that is allocated for the part of a reply before its body. The size of an
// exception's text is added to it.
const replyHeadSize = 96

// replyHeader is the first word of a reply: the protocol version and, in the last byte, the message type.
var replyHeader = [4]byte{0x80, 0x01, 0x00, Reply}

// messageTypeOffset is the position of the message type in a frame, in bytes from the start of the length prefix.
const messageTypeOffset = frameHeaderSize + 3

// Response is the response to a `call` or `health` message: an application exception if ExceptionType is set,
// otherwise the result that ResultField names.
type Response struct {
	Method        string
	Seq           int32
	ExceptionType int         // application exception type; 0: no application exception
	ExceptionText string      // text of the application exception
	ResultField   int16       // field identifier of the result: 0 served, 1 rejected, 2 failed
	Fields        [][2]string // fields of the result, each a name and a value
	Body          []byte      // if served: the object; may be empty
	Good          bool        // if served: true for an object; for `health`, whether the router is ready
}

// EncodeResponse returns the frame of a response, with its length prefix, in three slices: the part before the body,
// the body itself, which is not copied, and the rest.
func EncodeResponse(response Response) [][]byte {
	head := make([]byte, frameHeaderSize, replyHeadSize+len(response.ExceptionText))
	head = append(head, replyHeader[:]...)
	if response.ExceptionType != 0 {
		head[messageTypeOffset] = Exception
	}
	head = appendString(head, response.Method)
	head = binary.BigEndian.AppendUint32(head, uint32(response.Seq))
	var tail []byte
	switch {
	case response.ExceptionType != 0:
		head = appendApplicationException(head, response.ExceptionType, response.ExceptionText)
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

func appendApplicationException(out []byte, exceptionType int, text string) []byte {
	out = appendField(out, typeString, applicationText)
	out = appendString(out, text)
	out = appendField(out, typeI32, applicationKind)
	out = binary.BigEndian.AppendUint32(out, uint32(exceptionType))
	return append(out, typeStop)
}

// appendServedTail appends what follows the body in the reply of a served request.
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

func appendField(out []byte, typ byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(out, typ), uint16(id))
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
