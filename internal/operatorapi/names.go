package operatorapi

import (
	"net/http"
	"net/url"

	"github.com/gorilla/mux"
)

// nameInPath returns the name in the request's path, unescaped.
func nameInPath(r *http.Request) (string, error) {
	name, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		return "", &badRequestError{reason: "the name in the path is badly escaped"}
	}
	return name, nil
}
