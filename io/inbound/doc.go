// Package inbound owns the connections of callers below net/http.
//
// It knows where each request on a connection begins and ends, and hands over the bytes of one request at a time. What follows
// stays unread while the request runs, unless it arrived together with the request, or a Pipeline may serve it already. There are three
// reasons:
//
//   - net/http stops watching a connection as soon as a byte of a further request has arrived. A caller that pipelines requests and
//     then closes its connection would go unnoticed. With this package, the context of the running request is canceled and none
//     of the further requests is served. As with net/http, a caller that closes only its sending side counts as gone.
//   - net/http accepts some requests that another implementation may take for two (request smuggling). CheckFraming reports them at
//     every position on a connection.
//   - net/http closes connections without regard to further requests. A request that had been read would get no response, and
//     unread bytes make the kernel reset the connection and drop the response before them. Listener closes a connection only
//     between two requests, and when the caller has got the response.
package inbound
