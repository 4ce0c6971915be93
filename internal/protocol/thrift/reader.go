package thrift

import "encoding/binary"

// reader reads values from a frame. After its first error all it reads is zero.
type reader struct {
	in  []byte // what is left of the frame
	err error
}

// take returns the next n bytes, as a part of the frame.
func (r *reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > len(r.in) {
		r.err = ErrTruncated
		return nil
	}
	taken := r.in[:n]
	r.in = r.in[n:]
	return taken
}

func (r *reader) byte() byte {
	if value := r.take(1); value != nil {
		return value[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	if value := r.take(2); value != nil {
		return binary.BigEndian.Uint16(value)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if value := r.take(4); value != nil {
		return binary.BigEndian.Uint32(value)
	}
	return 0
}

// count reads a length or a number of elements. It may be negative.
func (r *reader) count() int {
	return int(int32(r.uint32()))
}

func (r *reader) bytes() []byte {
	return r.take(r.count())
}

// stringMap reads a map of strings by strings.
func (r *reader) stringMap() map[string]string {
	keyType, valueType := r.byte(), r.byte()
	count := r.count()
	fits := count >= 0 && count <= len(r.in)/minMapEntrySize
	strings := keyType == typeString && valueType == typeString
	if r.err == nil && (!fits || count > 0 && !strings) {
		r.err = ErrMap
	}
	entries := map[string]string{}
	for range count {
		key := r.bytes()
		value := r.bytes()
		if r.err != nil {
			return nil
		}
		entries[string(key)] = string(value)
	}
	return entries
}

// skip passes over a value of any type, at a depth of values within values.
func (r *reader) skip(kind byte, depth int) {
	if depth > maxSkipDepth {
		r.err = ErrTooDeep
	}
	if r.err != nil {
		return
	}
	switch kind {
	case typeString:
		r.bytes()
	case typeStruct:
		r.skipStruct(depth)
	case typeMap:
		keyType, valueType := r.byte(), r.byte()
		r.skipElements(r.count(), depth, keyType, valueType)
	case typeSet, typeList:
		elementType := r.byte()
		r.skipElements(r.count(), depth, elementType)
	default:
		size := fixedSize(kind)
		if size == 0 {
			r.err = &UnknownTypeError{Type: kind}
			return
		}
		r.take(size)
	}
}

func (r *reader) skipStruct(depth int) {
	for {
		field := r.byte()
		if r.err != nil || field == typeStop {
			return
		}
		r.uint16() // the field's identifier
		r.skip(field, depth+1)
	}
}

// skipElements passes over so many elements, each of which has one value of every type given.
func (r *reader) skipElements(count, depth int, types ...byte) {
	for i := 0; i < count && r.err == nil; i++ {
		for _, kind := range types {
			r.skip(kind, depth+1)
		}
	}
}

// fixedSize returns how many bytes a value of a type takes, and 0 where that depends on the value or the type
// is unknown.
func fixedSize(kind byte) int {
	switch kind {
	case typeBool, typeByte:
		return 1
	case typeI16:
		return 2
	case typeI32:
		return 4
	case typeI64, typeDouble:
		return 8
	}
	return 0
}
