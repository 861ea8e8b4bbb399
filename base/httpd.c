/* HTTP server: one listener with one handler. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base.h"

/* Time for which a connection may be idle, above that of callers, in ms. */
#define IDLE_MS 75000
/* The library's number for HTTP/2. */
#define HTTP_2 0x200

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
on_accept(h2o_socket_t *listener, const char *err)
{
    JdHttpd *hd = listener->data;
    h2o_socket_t *sock;

    if (err != NULL) {
        return;
    }
    while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
        h2o_accept(&hd->accept, sock);
    }
}

/*
 * Starts a server on an address.  Bodies above `body_most` bytes are refused
 * by the library with status 413.
 */
JdStatus
JdHttpd_Init(JdHttpd *hd, JdLoop *lp, const char *address, size_t body_most,
             JdHttpHandler handler, void *ctx, JdError *err)
{
    h2o_hostconf_t *host;
    h2o_pathconf_t *path;
    Handler *h;
    JdStatus s;
    int fd;

    memset(hd, 0, sizeof(*hd));
    s = JdListen(address, &fd, err);
    if (s != JD_OK) {
        return s;
    }
    hd->handler = handler;
    hd->ctx = ctx;
    hd->loop = lp;
    h2o_config_init(&hd->config);
    hd->config.max_request_entity_size = body_most;
    hd->config.http1.req_timeout = IDLE_MS;
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
    hd->listener =
        h2o_evloop_socket_create(lp->evloop, fd, H2O_SOCKET_FLAG_DONT_READ);
    hd->listener->data = hd;
    h2o_socket_read_start(hd->listener, on_accept);
    return JD_OK;
}

/* Asks open connections to end with their next answer. */
void
JdHttpd_CloseAfterResponse(JdHttpd *hd)
{
    h2o_context_request_shutdown(&hd->context);
}

/* Takes no new connections; open ones are asked to end. */
void
JdHttpd_StopAccepting(JdHttpd *hd)
{
    if (hd->listener != NULL) {
        h2o_socket_close(hd->listener);
        hd->listener = NULL;
        JdHttpd_CloseAfterResponse(hd);
    }
}

/* Closes the listener.  Connections that are open stay with the library. */
void
JdHttpd_Finish(JdHttpd *hd)
{
    JdHttpd_StopAccepting(hd);
}

/* Adds a header to an answer. */
void
JdHttpd_AddHeader(h2o_req_t *req, const char *name, const char *value)
{
    h2o_iovec_t n = h2o_strdup(&req->pool, name, SIZE_MAX);
    h2o_iovec_t v = h2o_strdup(&req->pool, value, SIZE_MAX);

    h2o_add_header_by_str(&req->pool, &req->res.headers, n.base, n.len, 1,
                          NULL, v.base, v.len);
}

/*
 * Sends the body of an answer whose status and headers are set.  The library
 * does not know its length by itself, and would end the connection with it.
 */
void
JdHttpd_SendBody(h2o_req_t *req, const char *body, size_t len)
{
    req->res.content_length = len;
    h2o_send_inline(req, body, len);
}

/* Sends a whole answer. */
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

/* Sends a JSON answer and drops the reference to it. */
void
JdHttpd_ReplyJson(h2o_req_t *req, int status, json_t *js)
{
    char *text = json_dumps(js, JSON_COMPACT);

    JdHttpd_Reply(req, status, "application/json", text, strlen(text));
    free(text);
    json_decref(js);
}

/* Copies a header's value.  Returns false when it is absent or too long. */
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

/* Returns whether the path, its query aside, is this one. */
bool
JdHttpd_IsPath(const h2o_req_t *req, const char *path)
{
    return path_len(req) == strlen(path) &&
           memcmp(req->path.base, path, strlen(path)) == 0;
}

/* Returns whether the method is this one. */
bool
JdHttpd_IsMethod(const h2o_req_t *req, const char *method)
{
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method));
}

/* Copies a query parameter.  Returns false when it is absent or too long. */
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
        const char *stop = amp == NULL ? end : amp;

        if ((size_t)(stop - p) > n && memcmp(p, name, n) == 0 && p[n] == '=') {
            size_t len = (size_t)(stop - p) - n - 1;

            if (len >= size) {
                return false;
            }
            memcpy(buf, p + n + 1, len);
            buf[len] = '\0';
            return true;
        }
        p = stop + 1;
    }
    return false;
}

/* Returns a query parameter as a number. */
uint64_t
JdHttpd_QueryNumber(const h2o_req_t *req, const char *name, uint64_t otherwise)
{
    char buf[24];

    return JdHttpd_CopyQueryParam(req, name, buf, sizeof(buf))
               ? strtoull(buf, NULL, 10)
               : otherwise;
}

/*
 * Fills an entry of poll() that tells whether the caller of a request that is
 * not answered yet has left.  On HTTP/1 the library does not read the
 * connection meanwhile; the end of its stream shows behind unread bytes too.
 * Returns false where the library itself drops the request, as on HTTP/2.
 */
bool
JdHttpd_WatchDisconnect(const h2o_req_t *req, struct pollfd *pfd)
{
    h2o_socket_t *sock;

    if (req->version >= HTTP_2) {
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
 * Returns whether poll() saw that the caller left.  One that closes only its
 * sending side counts as gone.
 */
bool
JdHttpd_HasDisconnected(const struct pollfd *pfd)
{
    return (pfd->revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
