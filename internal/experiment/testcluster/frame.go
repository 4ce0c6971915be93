package testcluster

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// Constants of the clients' protocol, framed binary Thrift. This file does not use the router's protocol package,
// so that tests detect that package's faults.
const (
	frameHeaderBytes = 4
	thriftMap        = 13
	thriftString     = 11

	messageReply = 2
)

// callFrame returns a framed call of a method with encoded arguments.
func callFrame(method string, sequence uint32, arguments []byte) []byte {
	message := binary.BigEndian.AppendUint32([]byte{0x80, 1, 0, 1}, uint32(len(method)))
	message = append(message, method...)
	message = binary.BigEndian.AppendUint32(message, sequence)
	message = append(message, arguments...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// healthFrame returns a framed call that asks a router whether it is ready.
func healthFrame() []byte { return callFrame("health", 1, []byte{0}) }

// requestFrame returns a framed request for an object, with a timeout of one second.
func requestFrame(sequence uint32, id uint64, object int) []byte {
	fields := []string{
		"verb", "stills",
		"txn", fmt.Sprintf("%016x", id),
		"limit", "1000",
		"item", fmt.Sprintf("%016x", object),
		"nth", "0",
		"batch", "17",
	}
	arguments := []byte{thriftMap, 0, 1, thriftString, thriftString}
	arguments = binary.BigEndian.AppendUint32(arguments, uint32(len(fields)/2))
	for _, field := range fields {
		arguments = appendString(arguments, field)
	}
	arguments = append(arguments, thriftString, 0, 2)
	arguments = appendString(arguments, "body")
	return callFrame("call", sequence, append(arguments, 0))
}

func appendString(out []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// readFrame reads one frame and returns it without its header.
func readFrame(in io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(header[:]))
	_, err := io.ReadFull(in, frame)
	return frame, err
}

// readResponse reads a response. It returns the sequence number of the request and whether the request was served.
func readResponse(in *bufio.Reader) (sequence uint32, served bool, err error) {
	frame, err := readFrame(in)
	if err != nil {
		return 0, false, err
	}
	const nameAt = 8 // offset of the name, after the version and the length of the name
	if len(frame) < nameAt {
		return 0, false, fmt.Errorf("response of %d bytes, want at least %d: %w",
			len(frame), nameAt, io.ErrUnexpectedEOF)
	}
	nameLength := int(binary.BigEndian.Uint32(frame[nameAt-4:]))
	sequenceAt := nameAt + nameLength
	resultFieldAt := sequenceAt + 4
	if len(frame) < resultFieldAt+3 {
		return 0, false, fmt.Errorf("response of %d bytes, want at least %d: %w",
			len(frame), resultFieldAt+3, io.ErrUnexpectedEOF)
	}
	isReply := frame[3] == messageReply
	isSuccess := frame[resultFieldAt+2] == 0 // field 0 of the result; other fields are errors
	return binary.BigEndian.Uint32(frame[sequenceAt:]), isReply && isSuccess, nil
}
