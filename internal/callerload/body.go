package callerload

import "io"

// firstBodyBytes is the size of the first buffer for a body that isn't known to be shorter.
const firstBodyBytes = 4 << 10

// ReadBody reads the body of a request or an answer, of at most limit bytes. announced is its length, or -1. The buffer grows as bytes come, and each growth is
// charged first. What is charged for the body stays so until the end of the request, or is returned with an error. An error of the
// reader is returned as it is; it is the reader's part to fail after limit bytes.
func ReadBody(r io.Reader, announced, limit int64, account *Account) ([]byte, error) {
	if announced >= 0 {
		limit = min(limit, announced)
	}
	var data []byte
	for {
		if int64(len(data)) == limit {
			return ended(data, r, account)
		}
		if len(data) == cap(data) {
			grown, err := grow(data, limit, account)
			if err != nil {
				return failed(data, err, account)
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return failed(data, err, account)
		}
	}
}

// grow returns the data in a buffer of twice the capacity, or of limit bytes if that is less.
func grow(data []byte, limit int64, account *Account) ([]byte, error) {
	capacity := min(max(firstBodyBytes, 2*int64(cap(data))), limit)
	if err := account.Charge(capacity); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	account.Release(int64(cap(data)))
	return grown, nil
}

// ended reads the end of a body of which as much was read as may come.
func ended(data []byte, r io.Reader, account *Account) ([]byte, error) {
	var beyond [1]byte
	for {
		n, err := r.Read(beyond[:])
		if err == io.EOF && n == 0 {
			return data, nil
		}
		if err == nil && n > 0 {
			err = io.ErrShortBuffer
		}
		if err != nil {
			return failed(data, err, account)
		}
	}
}

func failed(data []byte, err error, account *Account) ([]byte, error) {
	account.Release(int64(cap(data)))
	return nil, err
}
