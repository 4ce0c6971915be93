package resp

import "strconv"

// AppendArrayHeader appends the header line of an array to out. The given number of strings must follow it.
func AppendArrayHeader(out []byte, items int) []byte {
	return appendLength(out, arrayType, items)
}

// AppendString appends item to out as a bulk string, with header line and line end.
func AppendString[T string | []byte](out []byte, item T) []byte {
	out = appendLength(out, stringType, len(item))
	out = append(out, item...)
	return append(out, lineEnd...)
}

func appendLength(out []byte, typeByte byte, length int) []byte {
	out = strconv.AppendInt(append(out, typeByte), int64(length), 10)
	return append(out, lineEnd...)
}
