package strictjson

import "reflect"

// FillLists replaces every nil slice in the struct that pointer points to by an empty
// one, so that JSON encoding writes [] instead of null. It copies all slices before it
// changes their elements, because other values may share the original ones.
func FillLists(pointer any) {
	fill(reflect.ValueOf(pointer).Elem())
}

func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Field(i); field.CanSet() {
				fill(field)
			}
		}
	case reflect.Slice:
		fresh := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(fresh, v)
		for i := range fresh.Len() {
			fill(fresh.Index(i))
		}
		v.Set(fresh)
	}
}
