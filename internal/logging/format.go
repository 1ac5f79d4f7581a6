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

// timeFormat has milliseconds, since operators compare the lines of many instances.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// jsonFormatter formats entries byte for byte as logrus.JSONFormatter does, but without
// reflection for the usual types, because each request writes several lines. keyLists holds
// slices of field names (*[]string) for reuse.
type jsonFormatter struct{ keyLists sync.Pool }

// Names of the fields that the formatter adds to every line.
const (
	keyTime    = logrus.FieldKeyTime
	keyLevel   = logrus.FieldKeyLevel
	keyMessage = logrus.FieldKeyMsg
	// reservedPrefix precedes the name of a field that clashes with one of these names.
	reservedPrefix = "fields."
)

// Format implements logrus.Formatter.
func (f *jsonFormatter) Format(e *logrus.Entry) ([]byte, error) {
	keys, ok := f.keyLists.Get().(*[]string)
	if !ok {
		keys = new([]string)
	}
	defer f.keyLists.Put(keys)
	*keys = append((*keys)[:0], keyTime, keyLevel, keyMessage)
	for key := range e.Data {
		*keys = append(*keys, outputKey(key))
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

// outputKey returns the name under which a field is written.
func outputKey(key string) string {
	if key == keyTime || key == keyLevel || key == keyMessage {
		return reservedPrefix + key
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
		// Only the key of a clashing field is not in Data: outputKey added the prefix to it.
		value = e.Data[key[len(reservedPrefix):]]
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
			return fmt.Errorf("logging: encode a field as JSON: %w", err)
		}
		b.Write(data)
	}
	return nil
}

// appendString writes a string as a JSON string.
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
