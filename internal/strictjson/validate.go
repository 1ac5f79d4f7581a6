package strictjson

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// TagAddress is the validate tag of fields that hold an IP address with a port.
const TagAddress = "ip_port"

// NewValidator returns a validator that reports fields by their json names and supports
// TagAddress.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	if err := v.RegisterValidation(TagAddress, isAddress); err != nil {
		panic(fmt.Sprintf("strictjson: register %s: %v", TagAddress, err))
	}
	return v
}

func isAddress(fl validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil
}

// Read decodes a tree with Decode into the struct that target points to and then applies the
// struct's validate tags. A field that could not be decoded is not also reported as invalid.
func Read(node *Node, target any, index *Index) Problems {
	problems := Decode(node, target)
	return append(problems, problems.ExcludeConsequences(Validate(target, index))...)
}

// Validate applies the validate tags of a struct and returns the violations with their
// file, line and label from the index.
func Validate(value any, index *Index) Problems {
	err := NewValidator().Struct(value)
	var failures validator.ValidationErrors
	// The validator's only other error is for a value that is not a struct, which has no tags.
	if !errors.As(err, &failures) {
		return nil
	}
	var out Problems
	for _, e := range failures {
		_, path, _ := strings.Cut(e.Namespace(), ".")
		message, correction := explain(e, path, index)
		out = append(out, index.Problem(path, correction, "%s", message))
	}
	return out
}

// explain returns the message and the suggested correction for one violation.
func explain(e validator.FieldError, path string, index *Index) (message, correction string) {
	if !index.Has(path) {
		return "is missing", "add " + requirement(e, path)
	}
	if e.Tag() == "required" {
		return "is empty", "give it a value"
	}
	if e.Tag() == TagAddress {
		return fmt.Sprintf("%q is not an address", e.Value()), "write an IP number and a port, as in 10.0.0.1:8443"
	}
	return fmt.Sprintf("%v is not allowed", quoteIfText(e.Value())), "write " + requirement(e, path)
}

func quoteIfText(value any) any {
	if reflect.TypeOf(value).Kind() == reflect.String {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// requirement describes what the validate tag requires, to follow "write " or "add ".
func requirement(e validator.FieldError, path string) string {
	unit := unitOf(path).phrase()
	switch e.Tag() {
	case "gt":
		return fmt.Sprintf("a number%s above %s", unit, e.Param())
	case "gte":
		return fmt.Sprintf("a number%s of at least %s", unit, e.Param())
	case "lt":
		return fmt.Sprintf("a number%s below %s", unit, e.Param())
	case "lte":
		return fmt.Sprintf("a number%s of at most %s", unit, e.Param())
	// Structs may use the tag min on lists only, because the text speaks of a list.
	case "min":
		return fmt.Sprintf("a list of length %s or more", e.Param())
	case "oneof":
		return "one of " + strings.Join(strings.Fields(e.Param()), ", ")
	case TagAddress:
		return "an IP number with a port"
	// A tag without a text of its own, such as required: the correction is then "add it".
	default:
		return "it"
	}
}
