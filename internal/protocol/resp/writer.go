package resp

import "strconv"

// AppendArrayHeader appends the header line of an array with the given number of strings.
func AppendArrayHeader(out []byte, items int) []byte {
	return appendLength(out, arrayType, items)
}

// AppendString appends item as a bulk string.
func AppendString[T string | []byte](out []byte, item T) []byte {
	out = appendLength(out, stringType, len(item))
	out = append(out, item...)
	return append(out, lineEnd...)
}

func appendLength(out []byte, typeByte byte, length int) []byte {
	out = strconv.AppendInt(append(out, typeByte), int64(length), 10)
	return append(out, lineEnd...)
}
