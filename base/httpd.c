/* HTTP server based on h2o: one listener with one handler. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base.h"

/* Idle connections are closed after this time, in ms, which is longer than
 * clients keep theirs. */
#define IDLE_TIMEOUT_MS 75000
/* h2o_req_t.version of HTTP/2; versions below are HTTP/1. */
#define HTTP_VERSION_2 0x200

typedef struct Handler {
    h2o_handler_t super;
    JdHttpd *httpd;
} Handler;

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
    JdHttpd *hd = ((Handler *)self)->httpd;

    hd->handler(hd->ctx, req);
    return 0;
}

static void
on_accepted(void *ctx, h2o_socket_t *sock)
{
    JdHttpd *hd = ctx;

    h2o_accept(&hd->accept, sock);
}

static const JdAcceptorOps acceptor_ops = {.accepted = on_accepted};

/*
 * Starts a server on an address.  h2o answers requests with a body above
 * `max_body` bytes with status 413.
 */
JdStatus
JdHttpd_Init(JdHttpd *hd, JdLoop *lp, const char *address, size_t max_body,
             JdHttpHandler handler, void *ctx, JdError *err)
{
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    Handler *h;
    JdStatus s;

    memset(hd, 0, sizeof(*hd));
    s = JdAcceptor_Init(&hd->acceptor, lp, address, &acceptor_ops, hd, err);
    if (s != JD_OK) {
        return s;
    }
    hd->handler = handler;
    hd->ctx = ctx;
    hd->loop = lp;
    h2o_config_init(&hd->config);
    hd->config.max_request_entity_size = max_body;
    hd->config.http1.req_timeout = IDLE_TIMEOUT_MS;
    hd->config.server_name = h2o_iovec_init(H2O_STRLIT("jacinthdyke"));
    host = h2o_config_register_host(
        &hd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    path = h2o_config_register_path(host, "/", 0);
    h = (Handler *)h2o_create_handler(path, sizeof(*h));
    h->super.on_req = on_request;
    h->httpd = hd;
    h2o_context_init(&hd->context, lp->evloop, &hd->config);
    hd->accept.ctx = &hd->context;
    hd->accept.hosts = hd->config.hosts;
    return JD_OK;
}

/* Makes open connections close after their next response. */
void
JdHttpd_CloseAfterResponse(JdHttpd *hd)
{
    h2o_context_request_shutdown(&hd->context);
}

/* Takes no new connections; open ones close after their next response. */
void
JdHttpd_StopAccepting(JdHttpd *hd)
{
    if (hd->acceptor.listener != NULL) {
        JdAcceptor_Finish(&hd->acceptor);
        JdHttpd_CloseAfterResponse(hd);
    }
}

/* Closes the listener.  Open connections remain with h2o. */
void
JdHttpd_Finish(JdHttpd *hd)
{
    JdHttpd_StopAccepting(hd);
}

/* Adds a header to a response. */
void
JdHttpd_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t n = h2o_strdup(&req->pool, name, SIZE_MAX);
    h2o_iovec_t v = h2o_strdup(&req->pool, value, SIZE_MAX);

    h2o_add_header_by_str(&req->pool, &req->res.headers, n.base, n.len, 1,
                          NULL, v.base, v.len);
}

/*
 * Sends the body of a response whose status and headers are set.  Sets the
 * content length, without which h2o would close the connection to mark the end
 * of the body.
 */
void
JdHttpd_SendBody(h2o_req_t *req, const char *body, size_t len)
{
    req->res.content_length = len;
    h2o_send_inline(req, body, len);
}

/* Sends a complete response.  `type` is its content type, or NULL. */
void
JdHttpd_Reply(h2o_req_t *req, int status, const char *type, const char *body,
              size_t len)
{
    req->res.status = status;
    req->res.reason = status < 400 ? "OK" : "Error";
    if (type != NULL) {
        JdHttpd_AddHeader(req, "content-type", type);
    }
    JdHttpd_SendBody(req, body, len);
}

/* Sends a JSON response and releases the reference to `js`. */
void
JdHttpd_ReplyJson(h2o_req_t *req, int status, json_t *js)
{
    char *text = json_dumps(js, JSON_COMPACT);

    JdHttpd_Reply(req, status, "application/json", text, strlen(text));
    free(text);
    json_decref(js);
}

/* Copies the value of a header.  Returns false if it is absent or too long. */
bool
JdHttpd_CopyHeader(const h2o_req_t *req, const char *name, char *buf,
                   size_t size)
{
    const h2o_token_t *token = h2o_lookup_token(name, strlen(name));
    ssize_t i = token != NULL ? h2o_find_header(&req->headers, token, -1)
                              : h2o_find_header_by_str(&req->headers, name,
                                                       strlen(name), -1);
    h2o_iovec_t v;

    if (i < 0) {
        return false;
    }
    v = req->headers.entries[i].value;
    if (v.len >= size) {
        return false;
    }
    memcpy(buf, v.base, v.len);
    buf[v.len] = '\0';
    return true;
}

static size_t
path_len(const h2o_req_t *req)
{
    return req->query_at == SIZE_MAX ? req->path.len : req->query_at;
}

/* Returns whether the request has this path, without regard to the query. */
bool
JdHttpd_IsPath(const h2o_req_t *req, const char *path)
{
    return path_len(req) == strlen(path) &&
           memcmp(req->path.base, path, strlen(path)) == 0;
}

/* Returns whether the request has this method. */
bool
JdHttpd_IsMethod(const h2o_req_t *req, const char *method)
{
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method));
}

/* Copies the value of a query parameter, without decoding it.  Returns false
 * if it is absent or too long. */
bool
JdHttpd_CopyQueryParam(const h2o_req_t *req, const char *name, char *buf,
                       size_t size)
{
    const char *p, *end;
    size_t n = strlen(name);

    if (req->query_at == SIZE_MAX) {
        return false;
    }
    p = req->path.base + req->query_at + 1;
    end = req->path.base + req->path.len;
    while (p < end) {
        const char *amp = memchr(p, '&', (size_t)(end - p));
        const char *param_end = amp == NULL ? end : amp;

        if ((size_t)(param_end - p) > n && memcmp(p, name, n) == 0 &&
            p[n] == '=') {
            size_t len = (size_t)(param_end - p) - n - 1;

            if (len >= size) {
                return false;
            }
            memcpy(buf, p + n + 1, len);
            buf[len] = '\0';
            return true;
        }
        p = param_end + 1;
    }
    return false;
}

/* Returns a query parameter as a number, or `fallback` if it is absent or too
 * long. */
uint64_t
JdHttpd_QueryNumber(const h2o_req_t *req, const char *name, uint64_t fallback)
{
    char buf[24];

    return JdHttpd_CopyQueryParam(req, name, buf, sizeof(buf))
               ? strtoull(buf, NULL, 10)
               : fallback;
}

/*
 * Prepares a poll() entry that detects whether the client of an unanswered
 * request has disconnected.  h2o does not read an HTTP/1 connection until the
 * response is sent, but POLLRDHUP reports the end of the stream even behind
 * unread bytes.  Returns false if this is not possible or not needed, as on
 * HTTP/2, where h2o itself drops the request.
 */
bool
JdHttpd_WatchDisconnect(const h2o_req_t *req, struct pollfd *pfd)
{
    h2o_socket_t *sock;

    if (req->version >= HTTP_VERSION_2) {
        return false;
    }
    sock = req->conn->callbacks->get_socket(req->conn);
    if (sock == NULL || sock->ssl != NULL) {
        return false;
    }
    pfd->fd = h2o_socket_get_fd(sock);
    pfd->events = POLLRDHUP;
    pfd->revents = 0;
    return true;
}

/*
 * Returns whether poll() reported that the client disconnected.  A client that
 * closes only its sending side counts as disconnected.
 */
bool
JdHttpd_HasDisconnected(const struct pollfd *pfd)
{
    return (pfd->revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
