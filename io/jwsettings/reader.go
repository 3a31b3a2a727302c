package jwsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// reader holds the text of one file and collects its faults.
type reader struct {
	src    []byte
	faults Faults
}

// fault adds a fault at a byte offset of the file; the key is its full path.
func (r *reader) fault(offset int, key, format string, args ...any) {
	line := 1 + bytes.Count(r.src[:min(offset, len(r.src))], []byte("\n"))
	r.faults = append(r.faults, Fault{Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// object is one JSON object of the file.
type object struct {
	r       *reader
	path    string // path of the object's key, empty for the whole file
	offset  int    // byte offset in the file
	members map[string]hujson.Value
	wasRead map[string]bool // keys that were read; reportUnknownKeys reports all others
}

// object returns a value as an object. A value of another type is a fault and is
// treated as an empty object.
func (r *reader) object(path string, v hujson.Value) *object {
	o := &object{r: r, path: path, offset: v.StartOffset, members: map[string]hujson.Value{}, wasRead: map[string]bool{}}
	fields, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v.StartOffset, path, "must be an object")
		return o
	}
	for _, m := range fields.Members {
		name := literalString(m.Name)
		if _, duplicate := o.members[name]; duplicate {
			r.fault(m.Name.StartOffset, o.key(name), "given twice")
			continue
		}
		o.members[name] = m.Value
	}
	return o
}

// reportUnknownKeys adds a fault for each key that was not read.
func (o *object) reportUnknownKeys() {
	for name, v := range o.members {
		if !o.wasRead[name] {
			o.r.fault(v.StartOffset, o.key(name), "unknown key")
		}
	}
}

// key returns the path of a key of the object.
func (o *object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// offsetOf returns the byte offset of a key's value, or that of the object if the key is
// missing.
func (o *object) offsetOf(name string) int {
	if v, ok := o.members[name]; ok {
		return v.StartOffset
	}
	return o.offset
}

func (o *object) fault(name, format string, args ...any) {
	o.r.fault(o.offsetOf(name), o.key(name), format, args...)
}

// value returns the value of a key, and marks the key as read.
func (o *object) value(name string) (hujson.Value, bool) {
	o.wasRead[name] = true
	v, ok := o.members[name]
	return v, ok
}

// child calls read with the object of a key. A missing object is treated as empty.
func (o *object) child(name string, read func(*object)) {
	v, ok := o.value(name)
	if !ok {
		v = hujson.Value{StartOffset: o.offset, Value: &hujson.Object{}}
	}
	c := o.r.object(o.key(name), v)
	read(c)
	c.reportUnknownKeys()
}

// list calls read with each object in the list of a key, in order.
func (o *object) list(name string, read func(*object)) {
	for i, v := range o.elements(name) {
		c := o.r.object(o.key(name)+"["+strconv.Itoa(i)+"]", v)
		read(c)
		c.reportUnknownKeys()
	}
}

func (o *object) elements(name string) []hujson.Value {
	v, ok := o.value(name)
	if !ok {
		return nil
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		o.fault(name, "must be a list")
		return nil
	}
	return array.Elements
}

// textList reads a list of strings.
func (o *object) textList(name string) []string {
	var out []string
	for _, v := range o.elements(name) {
		if v.Value.Kind() != '"' {
			o.r.fault(v.StartOffset, o.key(name), "must hold strings")
			continue
		}
		out = append(out, literalString(v))
	}
	return out
}

// text reads a string. It leaves dst unchanged if the key is missing.
func (o *object) text(name string, dst *string) {
	v, ok := o.value(name)
	if !ok {
		return
	}
	if v.Value.Kind() != '"' {
		o.fault(name, "must be a string")
		return
	}
	*dst = literalString(v)
}

// name reads a required name of a node, region or data centre.
func (o *object) name(name string, dst *string) {
	o.text(name, dst)
	if problem := nameProblem(*dst); problem != "" {
		o.fault(name, "%s", problem)
	}
}

// duration reads a duration from minValue to maxValue. It leaves dst unchanged if the key
// is missing.
func (o *object) duration(name string, dst *time.Duration, minValue, maxValue time.Duration) {
	text := ""
	if o.text(name, &text); text == "" {
		if _, given := o.members[name]; given {
			o.fault(name, "must be a duration such as \"250ms\"")
		}
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		o.fault(name, "must be a duration such as \"250ms\", not %q", text)
		return
	}
	if d < minValue || d > maxValue {
		o.fault(name, "must be from %s to %s, not %s", minValue, maxValue, d)
		return
	}
	*dst = d
}

// address reads an IP address with a port. It leaves dst unchanged if the key is
// missing.
func (o *object) address(name string, dst *netip.AddrPort) {
	text := ""
	if o.text(name, &text); text == "" {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		o.fault(name, "must be an IP address with a port, not %q", text)
		return
	}
	*dst = a
}

// integer reads a whole number from minValue to maxValue. It leaves dst unchanged if the
// key is missing.
func (o *object) integer(name string, dst *int64, minValue, maxValue int64) {
	n := float64(*dst)
	o.number(name, &n, float64(minValue), float64(maxValue))
	if n != float64(int64(n)) {
		o.fault(name, "must be a whole number")
		return
	}
	*dst = int64(n)
}

// number reads a number from minValue to maxValue. It leaves dst unchanged if the key is
// missing.
func (o *object) number(name string, dst *float64, minValue, maxValue float64) {
	v, ok := o.value(name)
	if !ok {
		return
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		o.fault(name, "must be a number")
		return
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || n < minValue || n > maxValue {
		o.fault(name, "must be from %v to %v, not %s", minValue, maxValue, string(literal))
		return
	}
	*dst = n
}

// literalString returns the text of a JSON string, or "" for other values.
func literalString(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	text := ""
	_ = json.Unmarshal(literal, &text)
	return text
}
