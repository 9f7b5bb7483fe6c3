package presenter

import "reflect"

// withEmptySlices returns a copy of v in which nil slices are replaced by empty ones, because
// encoding/json encodes nil slices as null.
func withEmptySlices(v any) any {
	c := reflect.New(reflect.TypeOf(v)).Elem()
	c.Set(reflect.ValueOf(v))
	replaceNilSlices(c)
	return c.Interface()
}

func replaceNilSlices(v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		if v.IsNil() && v.CanSet() {
			v.Set(reflect.MakeSlice(v.Type(), 0, 0))
		}
		for i := range v.Len() {
			replaceNilSlices(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				replaceNilSlices(v.Field(i))
			}
		}
	case reflect.Pointer:
		if !v.IsNil() {
			replaceNilSlices(v.Elem())
		}
	default:
	}
}
