package etcdstore

// The types below are the JSON messages of the etcd v3 gateway. Their form is etcd's
// and may not change: keys and values are base64 (as []byte marshals), 64-bit integers
// are strings, and etcd leaves out fields that are zero.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type grantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
	Error  *status       `json:"error"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
	Error  *status     `json:"error"`
}

// status is the body of an error response.
type status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Status codes (of gRPC) in error responses.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)
