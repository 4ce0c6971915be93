package control

// get reads a setting, or the fallback where it is absent.
func get[T any](s Settings, name string, fallback T) T {
	if v, ok := s[name].(T); ok {
		return v
	}
	return fallback
}

// at reads place i of a setting that is a list, or the fallback where there is none.
func at[T any](s Settings, name string, i int, fallback T) T {
	if row := get[[]T](s, name, nil); i >= 0 && i < len(row) {
		return row[i]
	}
	return fallback
}
