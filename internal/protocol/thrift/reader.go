package thrift

import "encoding/binary"

// reader reads values from a frame. After the first error, which it keeps in err, all values it returns are zero.
type reader struct {
	in  []byte // part of the frame that is not read yet
	err error
}

// take returns the next n bytes, which share the frame's memory. If fewer are left, it returns nil and sets err.
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

// count reads a 32-bit length or number of elements. It does not check the value, which may be negative.
func (r *reader) count() int {
	return int(int32(r.uint32()))
}

func (r *reader) bytes() []byte {
	return r.take(r.count())
}

// stringMap reads a map from strings to strings. It sets err if the keys or values are of another type, if the frame is
// too short for the number of entries, or if the map is larger than maxMapEntries and maxMapSize allow.
func (r *reader) stringMap() map[string]string {
	keyType, valueType := r.byte(), r.byte()
	count := r.count()
	fits := count >= 0 && count <= len(r.in)/minMapEntrySize
	hasStrings := keyType == typeString && valueType == typeString
	switch {
	case r.err != nil:
	case !fits, count > 0 && !hasStrings:
		r.err = ErrInvalidMap
	case count > maxMapEntries:
		r.err = ErrMapTooLarge
	}
	entries := map[string]string{}
	remaining := maxMapSize
	for range count {
		key := r.bytes()
		value := r.bytes()
		remaining -= minMapEntrySize + len(key) + len(value)
		if r.err == nil && remaining < 0 {
			r.err = ErrMapTooLarge
		}
		if r.err != nil {
			return nil
		}
		entries[string(key)] = string(value)
	}
	return entries
}

// skip reads a value of type typ and drops it. depth is the number of skipped values that contain it.
func (r *reader) skip(typ byte, depth int) {
	if depth > maxSkipDepth {
		r.err = ErrTooDeep
	}
	if r.err != nil {
		return
	}
	switch typ {
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
		size := fixedSize(typ)
		if size == 0 {
			r.err = &UnknownTypeError{Type: typ}
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
		r.uint16() // reads the field identifier
		r.skip(field, depth+1)
	}
}

// skipElements reads count elements of a container and drops them. An element consists of one value of each type in
// types: of a map's key and value, or of one value.
func (r *reader) skipElements(count, depth int, types ...byte) {
	for i := 0; i < count && r.err == nil; i++ {
		for _, typ := range types {
			r.skip(typ, depth+1)
		}
	}
}

// fixedSize returns the size in bytes of the values of a type, or 0 if the size varies or the type is unknown.
func fixedSize(typ byte) int {
	switch typ {
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
