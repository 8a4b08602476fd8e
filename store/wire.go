package store

import (
	"net/url"
	"strconv"
	"strings"
)

// Paths, headers and parameters of the object API over HTTP; docs/PLATFORM.md
// describes them.
const (
	PathObjects    = "/v1/objects/" // {kind}, {kind}/{name}
	HeaderRevision = "X-Revision"   // of list and watch answers
	ParamAfter     = "after"        // revision; makes a list a watch
)

// ObjectList is the body of list and watch answers.
type ObjectList struct {
	Revision Version      `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireObject is one object of an ObjectList.
type WireObject struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"` // base64
	Deleted bool    `json:"deleted,omitempty"`
}

// ETag renders a version as a strong entity tag.
func ETag(version Version) string { return strconv.Quote(strconv.FormatUint(uint64(version), 10)) }

// ParseETag reads a version from an entity tag; ok is false without a valid one.
func ParseETag(tag string) (version Version, ok bool) {
	number, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	return Version(number), err == nil
}

// ObjectPath is the path of an object; with an empty name that of its kind.
func ObjectPath(kind, name string) string {
	path := PathObjects + url.PathEscape(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}
