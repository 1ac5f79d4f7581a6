package strictjson

import "reflect"

// FillLists turns every nil slice in the struct that pointer points to into an empty
// one, so that it is written as [] and not as null. It changes copies of the slices,
// since others may read the former ones.
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
