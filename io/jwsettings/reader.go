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

// reader collects the faults of one file.
type reader struct {
	src    []byte
	faults Faults
}

func (r *reader) fault(offset int, key, format string, args ...any) {
	line := 1 + bytes.Count(r.src[:min(offset, len(r.src))], []byte("\n"))
	r.faults = append(r.faults, Fault{Line: line, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// object is one JSON object of the file; each key that is read counts as known.
type object struct {
	r       *reader
	path    string
	offset  int
	members map[string]hujson.Value
	known   map[string]bool
}

// object takes a value as an object; one of another kind is a fault and reads
// as empty.
func (r *reader) object(path string, v hujson.Value) *object {
	o := &object{r: r, path: path, offset: v.StartOffset, members: map[string]hujson.Value{}, known: map[string]bool{}}
	fields, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v.StartOffset, path, "must be an object")
		return o
	}
	for _, m := range fields.Members {
		name := literalString(m.Name)
		if _, twice := o.members[name]; twice {
			r.fault(m.Name.StartOffset, o.key(name), "given twice")
			continue
		}
		o.members[name] = m.Value
	}
	return o
}

// end reports the keys that nothing read.
func (o *object) end() {
	for name, v := range o.members {
		if !o.known[name] {
			o.r.fault(v.StartOffset, o.key(name), "unknown key")
		}
	}
}

func (o *object) key(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// at returns where a key's value stands, or the object when it has none.
func (o *object) at(name string) int {
	if v, ok := o.members[name]; ok {
		return v.StartOffset
	}
	return o.offset
}

func (o *object) fault(name, format string, args ...any) {
	o.r.fault(o.at(name), o.key(name), format, args...)
}

func (o *object) value(name string) (hujson.Value, bool) {
	o.known[name] = true
	v, ok := o.members[name]
	return v, ok
}

// child reads the object of a key; a missing one reads as empty.
func (o *object) child(name string, read func(*object)) {
	v, ok := o.value(name)
	if !ok {
		v = hujson.Value{StartOffset: o.offset, Value: &hujson.Object{}}
	}
	c := o.r.object(o.key(name), v)
	read(c)
	c.end()
}

// list reads the objects of a key in their order.
func (o *object) list(name string, read func(*object)) {
	for i, v := range o.elements(name) {
		c := o.r.object(o.key(name)+"["+strconv.Itoa(i)+"]", v)
		read(c)
		c.end()
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

// texts reads a list of strings.
func (o *object) texts(name string) []string {
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

// text reads a string; into keeps its value when the key is missing.
func (o *object) text(name string, into *string) {
	v, ok := o.value(name)
	if !ok {
		return
	}
	if v.Value.Kind() != '"' {
		o.fault(name, "must be a string")
		return
	}
	*into = literalString(v)
}

// name reads a required name of a node, region or data centre.
func (o *object) name(name string, into *string) {
	o.text(name, into)
	if problem := nameProblem(*into); problem != "" {
		o.fault(name, "%s", problem)
	}
}

func (o *object) duration(name string, into *time.Duration, least, most time.Duration) {
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
	if d < least || d > most {
		o.fault(name, "must be from %s to %s, not %s", least, most, d)
		return
	}
	*into = d
}

// address reads an IP address with a port.
func (o *object) address(name string, into *netip.AddrPort) {
	text := ""
	if o.text(name, &text); text == "" {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		o.fault(name, "must be an IP address with a port, not %q", text)
		return
	}
	*into = a
}

func (o *object) integer(name string, into *int64, least, most int64) {
	n := float64(*into)
	o.number(name, &n, float64(least), float64(most))
	if n != float64(int64(n)) {
		o.fault(name, "must be a whole number")
		return
	}
	*into = int64(n)
}

func (o *object) number(name string, into *float64, least, most float64) {
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
	if err != nil || n < least || n > most {
		o.fault(name, "must be from %v to %v, not %s", least, most, string(literal))
		return
	}
	*into = n
}

// literalString returns the text of a JSON string, empty for other values.
func literalString(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	text := ""
	_ = json.Unmarshal(literal, &text)
	return text
}
