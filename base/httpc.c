/*
 * HTTP client of one server.  Each call ends exactly once, through its
 * callback or by JdHttpc_Cancel, and says what is known of its effect.
 */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base.h"

/* Time for which an idle connection is kept, in ms. */
#define IDLE_MS 5000
/* Timeout of the library itself, above every timeout of ours, in ms. */
#define LIBRARY_MS 600000

struct JdHttpCall {
    JdHttpc *httpc;
    h2o_http1client_t *client;
    JdTimer timer;
    JdHttpDone done;
    void *ctx;
    GByteArray *request;
    GByteArray *body;
    h2o_iovec_t iov;
    JdHttpAnswer answer;
    GByteArray *head; /* copies of the header texts */
    size_t expect;    /* content-length, or SIZE_MAX */
    const char *echo_name;
    char *echo; /* what the answer has to repeat, or NULL */
    bool is_sent;
    bool is_head;
    bool is_chunked;
};

/* Initializes a client that keeps up to `connections` open. */
JdStatus
JdHttpc_Init(JdHttpc *hc, JdLoop *lp, const char *address, size_t connections,
             JdError *err)
{
    struct sockaddr_in sin;
    JdStatus s = JdAddress_Parse(address, &sin, err);

    memset(hc, 0, sizeof(*hc));
    if (s != JD_OK) {
        return s;
    }
    hc->loop = lp;
    g_strlcpy(hc->host, address, sizeof(hc->host));
    h2o_timeout_init(lp->loop, &hc->io_timeout, LIBRARY_MS);
    hc->client.loop = lp->loop;
    hc->client.io_timeout = &hc->io_timeout;
    h2o_socketpool_init_by_address(&hc->pool, (struct sockaddr *)&sin,
                                   sizeof(sin), 0, connections);
    h2o_socketpool_set_timeout(&hc->pool, lp->loop, IDLE_MS);
    return JD_OK;
}

/* Sets the time for which an idle connection is kept. */
void
JdHttpc_SetIdle(JdHttpc *hc, uint64_t us)
{
    hc->pool.timeout = us / JD_US_PER_MS;
}

/* Closes idle connections.  No call may be open. */
void
JdHttpc_Finish(JdHttpc *hc)
{
    h2o_socketpool_dispose(&hc->pool);
    h2o_timeout_dispose(hc->loop->loop, &hc->io_timeout);
}

static void
free_call(JdHttpCall *call)
{
    JdTimer_Cancel(&call->httpc->loop->clock, &call->timer);
    g_byte_array_unref(call->request);
    g_byte_array_unref(call->body);
    g_byte_array_unref(call->head);
    g_free(call->echo);
    g_free(call);
}

static void
finish(JdHttpCall *call, JdHttpEnd end)
{
    call->answer.end = end;
    call->answer.body = (const char *)call->body->data;
    call->answer.body_len = call->body->len;
    call->done(call->ctx, &call->answer);
    free_call(call);
}

/* Ends a call without its callback.  What was sent may still take effect. */
void
JdHttpc_Cancel(JdHttpCall *call)
{
    if (call->client != NULL) {
        h2o_http1client_cancel(call->client);
    }
    free_call(call);
}

static void
on_timeout(void *ctx)
{
    JdHttpCall *call = ctx;

    if (call->client != NULL) {
        h2o_http1client_cancel(call->client);
        call->client = NULL;
    }
    finish(call, call->is_sent ? JD_HTTP_TIMED_OUT : JD_HTTP_NOT_SENT);
}

/* Returns whether a connection that ended was closed in order, not reset. */
static bool
is_closed_in_order(const h2o_http1client_t *client)
{
    struct pollfd pfd = {.fd = h2o_socket_get_fd(client->sock),
                         .events = POLLIN};

    return poll(&pfd, 1, 0) >= 0 && (pfd.revents & (POLLERR | POLLHUP)) == 0;
}

/* A body without a length is whole when its connection was closed in order. */
static bool
is_whole(const JdHttpCall *call, const h2o_http1client_t *client)
{
    if (call->expect != SIZE_MAX) {
        return call->expect == call->body->len;
    }
    return call->is_chunked || is_closed_in_order(client);
}

static bool
is_own(const JdHttpCall *call)
{
    const JdHttpHeader *h;

    if (call->echo == NULL) {
        return true;
    }
    h = JdHttpAnswer_Find(&call->answer, call->echo_name);
    return h != NULL && h->value_len == strlen(call->echo) &&
           memcmp(h->value, call->echo, h->value_len) == 0;
}

/* The answer is there: keeps its connection only if nothing is amiss. */
static void
finish_answer(JdHttpCall *call, h2o_http1client_t *client, bool whole)
{
    bool own = is_own(call);

    if (!whole || !own || h2o_socket_is_writing(client->sock)) {
        h2o_socket_close(h2o_http1client_steal_socket(client));
    }
    call->client = NULL;
    if (!whole) {
        finish(call, JD_HTTP_BROKEN);
        return;
    }
    finish(call, own ? JD_HTTP_ANSWERED : JD_HTTP_CROSSED);
}

static int
on_body(h2o_http1client_t *client, const char *err)
{
    JdHttpCall *call = client->data;

    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call->client = NULL;
        finish(call, JD_HTTP_BROKEN);
        return -1;
    }
    g_byte_array_append(call->body, (const guint8 *)client->sock->input->bytes,
                        (guint)client->sock->input->size);
    h2o_buffer_consume(&client->sock->input, client->sock->input->size);
    if (err == h2o_http1client_error_is_eos) {
        finish_answer(call, client, is_whole(call, client));
    }
    return 0;
}

/* Notes how the end of the body will be known. */
static void
note_framing(JdHttpCall *call)
{
    const JdHttpHeader *length =
        JdHttpAnswer_Find(&call->answer, "content-length");

    call->is_chunked =
        JdHttpAnswer_Find(&call->answer, "transfer-encoding") != NULL;
    if (length != NULL && !call->is_chunked) {
        char *text = g_strndup(length->value, length->value_len);

        call->expect = strtoull(text, NULL, 10);
        g_free(text);
    }
}

/* Copies the headers, since the library's buffer is reused for the body. */
static void
copy_headers(JdHttpCall *call, const h2o_header_t *headers, size_t n)
{
    size_t used = 0;

    for (size_t i = 0; i < n; i++) {
        used += headers[i].name->len + headers[i].value.len;
    }
    g_byte_array_set_size(call->head, (guint)used);
    used = 0;
    for (size_t i = 0; i < n && call->answer.headers < JD_HTTP_HEADERS_MAX;
         i++) {
        JdHttpHeader *h = &call->answer.header[call->answer.headers++];
        guint8 *at = call->head->data + used;

        memcpy(at, headers[i].name->base, headers[i].name->len);
        h->name = (const char *)at;
        h->name_len = headers[i].name->len;
        at += h->name_len;
        memcpy(at, headers[i].value.base, headers[i].value.len);
        h->value = (const char *)at;
        h->value_len = headers[i].value.len;
        used += h->name_len + h->value_len;
    }
    note_framing(call);
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *err, int minor, int status,
        h2o_iovec_t msg, h2o_header_t *headers, size_t n, int rlen)
{
    JdHttpCall *call = client->data;

    (void)minor;
    (void)msg;
    (void)rlen;
    if (err != NULL && err != h2o_http1client_error_is_eos) {
        call->client = NULL;
        finish(call, JD_HTTP_BROKEN);
        return NULL;
    }
    call->answer.status = status;
    copy_headers(call, headers, n);
    if (err == h2o_http1client_error_is_eos) {
        finish_answer(call, client,
                      call->is_head || call->expect == SIZE_MAX ||
                          call->expect == 0);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *err, h2o_iovec_t **bufs,
           size_t *n, int *is_head)
{
    JdHttpCall *call = client->data;

    if (err != NULL) {
        /* Deferred, since the call may not have been returned yet. */
        call->client = NULL;
        JdTimer_Arm(&call->httpc->loop->clock, &call->timer, 0);
        return NULL;
    }
    call->is_sent = true;
    call->iov = h2o_iovec_init(call->request->data, call->request->len);
    *bufs = &call->iov;
    *n = 1;
    *is_head = call->is_head;
    return on_head;
}

static GByteArray *
format_request(const JdHttpc *hc, const JdHttpRequest *rq)
{
    bool has_length = rq->len > 0 || (strcmp(rq->method, "GET") != 0 &&
                                      strcmp(rq->method, "HEAD") != 0);
    GString *head = g_string_new(NULL);
    GByteArray *out = g_byte_array_new();

    g_string_printf(head, "%s %s HTTP/1.1\r\nhost: %s\r\n", rq->method,
                    rq->path, rq->host == NULL ? hc->host : rq->host);
    if (has_length) {
        g_string_append_printf(head, "content-length: %zu\r\n", rq->len);
    }
    g_string_append(head, rq->headers == NULL ? "" : rq->headers);
    g_string_append(head, "\r\n");
    g_byte_array_append(out, (guint8 *)head->str, (guint)head->len);
    if (rq->len > 0) {
        g_byte_array_append(out, rq->body, (guint)rq->len);
    }
    g_string_free(head, TRUE);
    return out;
}

/*
 * Sends a request.  The callback comes within the request's timeout, never
 * before this call returns unless no connection could be started.
 */
JdHttpCall *
JdHttpc_Send(JdHttpc *hc, const JdHttpRequest *rq, JdHttpDone done, void *ctx)
{
    JdHttpCall *call = g_new0(JdHttpCall, 1);

    call->httpc = hc;
    call->done = done;
    call->ctx = ctx;
    call->expect = SIZE_MAX;
    call->is_head = strcmp(rq->method, "HEAD") == 0;
    call->request = format_request(hc, rq);
    call->body = g_byte_array_new();
    call->head = g_byte_array_new();
    if (rq->echo != NULL) {
        call->echo_name = rq->echo_name;
        call->echo = g_strdup(rq->echo);
    }
    JdTimer_Init(&call->timer, on_timeout, call);
    JdTimer_Arm(&hc->loop->clock, &call->timer, rq->timeout);
    h2o_http1client_connect_with_pool(&call->client, call, &hc->client,
                                      &hc->pool, on_connect);
    return call;
}

/* Sends a plain GET. */
JdHttpCall *
JdHttpc_Get(JdHttpc *hc, const char *path, uint64_t timeout, JdHttpDone done,
            void *ctx)
{
    JdHttpRequest rq = {.method = "GET", .path = path, .timeout = timeout};

    return JdHttpc_Send(hc, &rq, done, ctx);
}

/* Returns the first header of that name in an answer, or NULL. */
const JdHttpHeader *
JdHttpAnswer_Find(const JdHttpAnswer *ans, const char *name)
{
    size_t n = strlen(name);

    for (size_t i = 0; i < ans->headers; i++) {
        const JdHttpHeader *h = &ans->header[i];

        if (h->name_len == n && g_ascii_strncasecmp(h->name, name, n) == 0) {
            return h;
        }
    }
    return NULL;
}
