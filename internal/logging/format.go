package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"
)

// timeFormat is that of a line's time: milliseconds, as operators compare lines of many
// instances.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// lines formats entries as logrus.JSONFormatter does, byte for byte, but without
// reflection for the usual types: each request writes several lines.
type lines struct{ keys sync.Pool }

// Names of the fields that each line has.
const (
	keyTime    = logrus.FieldKeyTime
	keyLevel   = logrus.FieldKeyLevel
	keyMessage = logrus.FieldKeyMsg
	// clashPrefix goes before a field that has one of these names.
	clashPrefix = "fields."
)

// Format implements logrus.Formatter.
func (l *lines) Format(e *logrus.Entry) ([]byte, error) {
	keys, ok := l.keys.Get().(*[]string)
	if !ok {
		keys = new([]string)
	}
	defer l.keys.Put(keys)
	*keys = append((*keys)[:0], keyTime, keyLevel, keyMessage)
	for key := range e.Data {
		*keys = append(*keys, written(key))
	}
	slices.Sort(*keys)
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	separator := byte('{')
	for _, key := range *keys {
		b.WriteByte(separator)
		separator = ','
		appendString(b, key)
		b.WriteByte(':')
		if err := appendField(b, e, key); err != nil {
			return nil, err
		}
	}
	b.WriteString("}\n")
	return b.Bytes(), nil
}

// written is the name under which a field is written.
func written(key string) string {
	if key == keyTime || key == keyLevel || key == keyMessage {
		return clashPrefix + key
	}
	return key
}

func appendField(b *bytes.Buffer, e *logrus.Entry, key string) error {
	switch key {
	case keyTime:
		appendString(b, e.Time.Format(timeFormat))
		return nil
	case keyLevel:
		appendString(b, e.Level.String())
		return nil
	case keyMessage:
		appendString(b, e.Message)
		return nil
	}
	value, ok := e.Data[key]
	if !ok {
		value = e.Data[key[len(clashPrefix):]]
	}
	return appendValue(b, value)
}

func appendValue(b *bytes.Buffer, value any) error {
	switch v := value.(type) {
	case string:
		appendString(b, v)
	case error:
		appendString(b, v.Error())
	case bool:
		b.Write(strconv.AppendBool(b.AvailableBuffer(), v))
	case int:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(v), 10))
	case int64:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), v, 10))
	case uint64:
		b.Write(strconv.AppendUint(b.AvailableBuffer(), v, 10))
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("logging: a field can't be written: %w", err)
		}
		b.Write(data)
	}
	return nil
}

// appendString quotes a string as JSON.
func appendString(b *bytes.Buffer, s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, err := json.Marshal(s)
			if err != nil { // A string can always be encoded.
				data = []byte(`""`)
			}
			b.Write(data)
			return
		}
	}
	b.WriteByte('"')
	b.WriteString(s)
	b.WriteByte('"')
}
