package resp

import "strconv"

// Head appends the head of an array of so many strings.
func Head(out []byte, items int) []byte {
	return appendLength(out, arrayMark, items)
}

// Text appends a bulk string.
func Text[T string | []byte](out []byte, item T) []byte {
	out = appendLength(out, stringMark, len(item))
	out = append(out, item...)
	return append(out, lineEnd...)
}

func appendLength(out []byte, mark byte, length int) []byte {
	out = strconv.AppendInt(append(out, mark), int64(length), 10)
	return append(out, lineEnd...)
}
