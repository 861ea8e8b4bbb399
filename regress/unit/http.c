/*
 * The HTTP client and the HTTP/1.1 server against raw sockets.  The client
 * gets responses that are late, truncated, malformed or without a length; the
 * server has callers that pipeline requests, disconnect, or are connected when
 * it shuts down.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "../../base/base.h"
#include "unit.h"

/* Rounds of the loop, 1 ms each, that let both sides handle what was sent. */
#define ROUNDS 20
/* Timeout of a call, and the longest wait for an expected event. */
#define TIMEOUT (3 * JD_US_PER_S)
#define SHORT_TIMEOUT (50 * JD_US_PER_MS)
/* Timeout of a call whose response arrives in parts and takes longer. */
#define SLOW_TIMEOUT (600 * JD_US_PER_MS)
#define PARTS 8
#define LARGE_BODY (8U << 20)
/* A caller that reads for longer than a connection lingers, and sends on. */
#define SLOW_CALLER_BODY (400U << 10)
#define SLOW_CALLER_READ (16U << 10)
#define SLOW_CALLER_ROOM (64U << 10)
#define SLOW_CALLER_PAUSE (60 * JD_US_PER_MS)
/* Limit of a response in the tests of endless ones. */
#define ENDLESS_LIMIT (1U << 20)
#define ENDLESS_MOST (16U << 20)

static JdLoop loop;

static void
run_rounds(void)
{
    for (int i = 0; i < ROUNDS; i++) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
}

/* Runs the loop until a count is reached, or until TIMEOUT. */
static void
run_until(const int *count, int wanted)
{
    uint64_t end = JdClock_Now(&loop.clock) + TIMEOUT;

    while (*count < wanted && JdClock_Now(&loop.clock) < end) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
    run_rounds();
}

/* ---- client ------------------------------------------------------------ */

/* How a call ended; `count` is the number of callbacks. */
typedef struct Result {
    int count;
    JdHttpResult result;
    int status;
    char body[64];
} Result;

static int listener;
static JdHttpc client;

static void
on_done(void *ctx, const JdHttpResponse *resp)
{
    Result *res = ctx;

    res->count++;
    res->result = resp->result;
    res->status = resp->status;
    g_snprintf(res->body, sizeof(res->body), "%.*s", (int)resp->body_len,
               resp->body_len > 0 ? resp->body : "");
}

static void
start_client(void)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};
    socklen_t len = sizeof(sin);
    char address[JD_ADDRESS_MAX];

    listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CU_ASSERT_EQUAL_FATAL(bind(listener, (struct sockaddr *)&sin, sizeof(sin)),
                          0);
    listen(listener, 8);
    getsockname(listener, (struct sockaddr *)&sin, &len);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(sin.sin_port));
    CU_ASSERT_EQUAL(JdHttpc_Init(&client, &loop, address, 4, NULL), JD_OK);
}

static void
stop_client(void)
{
    JdHttpc_Finish(&client);
    run_rounds();
    close(listener);
}

static JdHttpCall *
start_call(Result *res, const char *id)
{
    JdHttpRequest rq = {.method = "GET",
                        .path = "/",
                        .timeout = TIMEOUT,
                        .echo_header = "x-id",
                        .echo_value = id};

    memset(res, 0, sizeof(*res));
    return JdHttpc_Send(&client, &rq, on_done, res);
}

/* Accepts the next connection of the client. */
static int
accept_connection(void)
{
    uint64_t end = JdClock_Now(&loop.clock) + TIMEOUT;
    int fd = -1;

    while (fd < 0 && JdClock_Now(&loop.clock) < end) {
        run_rounds();
        fd = accept(listener, NULL, NULL);
    }
    CU_ASSERT_FATAL(fd >= 0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    run_rounds();
}

#define RESPONSE_A "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 2\r\n\r\nAA"
#define RESPONSE_B "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 2\r\n\r\nBB"

static void
test_reuse(void)
{
    Result a, b;
    int fd;

    start_client();
    start_call(&a, "a");
    fd = accept_connection();
    send_text(fd, RESPONSE_A);
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_COMPLETED);
    CU_ASSERT_STRING_EQUAL(a.body, "AA");
    start_call(&b, "b");
    run_rounds();
    CU_ASSERT_EQUAL(accept(listener, NULL, NULL), -1);
    send_text(fd, RESPONSE_B);
    run_until(&b.count, 1);
    CU_ASSERT_STRING_EQUAL(b.body, "BB");
    close(fd);
    stop_client();
}

/* A response to an earlier request arrives before the expected one. */
static void
test_late_response(void)
{
    Result a, b;
    int fd;

    start_client();
    start_call(&a, "a");
    fd = accept_connection();
    send_text(fd, RESPONSE_A);
    run_until(&a.count, 1);
    start_call(&b, "b");
    run_rounds();
    send_text(fd, RESPONSE_A);
    CU_ASSERT_EQUAL(b.count, 0);
    send_text(fd, RESPONSE_B);
    run_until(&b.count, 1);
    CU_ASSERT_EQUAL(b.result, JD_HTTP_COMPLETED);
    CU_ASSERT_STRING_EQUAL(b.body, "BB");
    close(fd);
    stop_client();
}

/* A connection with extra bytes after a response is not reused. */
static void
test_extra_bytes(void)
{
    Result a, b;
    int fd, other;

    start_client();
    start_call(&a, "a");
    fd = accept_connection();
    send_text(fd, RESPONSE_A "extra");
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_COMPLETED);
    CU_ASSERT_STRING_EQUAL(a.body, "AA");
    start_call(&b, "b");
    other = accept_connection();
    send_text(other, RESPONSE_B);
    run_until(&b.count, 1);
    CU_ASSERT_STRING_EQUAL(b.body, "BB");
    close(fd);
    close(other);
    stop_client();
}

static void
check_no_length(bool is_reset, JdHttpResult expected)
{
    struct linger now = {1, 0};
    Result a;
    int fd;

    start_client();
    start_call(&a, "a");
    fd = accept_connection();
    /* Unread bytes would make close() reset the connection. */
    CU_ASSERT(read(fd, (char[1024]){0}, 1024) > 0);
    send_text(fd, "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nAA");
    CU_ASSERT_EQUAL(a.count, 0);
    if (is_reset) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    close(fd);
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.count, 1);
    CU_ASSERT_EQUAL(a.result, expected);
    stop_client();
}

static void
test_no_length(void)
{
    check_no_length(false, JD_HTTP_COMPLETED);
    check_no_length(true, JD_HTTP_DISCONNECTED);
}

static void
check_response(const char *text, JdHttpResult expected)
{
    Result a;
    int fd;

    start_client();
    start_call(&a, "a");
    fd = accept_connection();
    CU_ASSERT(read(fd, (char[1024]){0}, 1024) > 0);
    send_text(fd, text);
    close(fd);
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.count, 1);
    CU_ASSERT_EQUAL(a.result, expected);
    stop_client();
}

static void
test_responses(void)
{
    check_response("HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 5\r\n\r\nAA",
                   JD_HTTP_DISCONNECTED);
    check_response(
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nAA\r\n",
        JD_HTTP_DISCONNECTED);
    check_response(
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nAA\r\n0\r\n\r\n",
        JD_HTTP_COMPLETED);
    check_response(
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
        "2\r\nAA\r\n0\r\nx-id: b\r\nx-more: "
        "0123456789012345678901234567890123456789\r\n\r\n",
        JD_HTTP_COMPLETED);
    check_response("no answer at all\r\n\r\n", JD_HTTP_DISCONNECTED);
    check_response("HTTP/1.1 200 OK\r\nx-id", JD_HTTP_DISCONNECTED);
    check_response("", JD_HTTP_DISCONNECTED);
    /* A response to another request that ends with its connection. */
    check_response("HTTP/1.1 200 OK\r\nx-id: b\r\n\r\nBB", JD_HTTP_MISMATCHED);
    check_response("HTTP/1.1 100 Continue\r\n\r\n" RESPONSE_A,
                   JD_HTTP_COMPLETED);
}

/* A response with a line in its head that is no header is no answer. */
static void
test_spoiled_heads(void)
{
    static const char *const lines[] = {"Cache  ontrol: no-store",
                                        " cache-control: no-store",
                                        "cache-control : no-store",
                                        "cache(control: no-store",
                                        "cache-control: no\001store",
                                        "cache-control: no\177store",
                                        ": no-store"};

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\nx-id: a\r\n"
                                     "content-length: 2\r\n\r\nAA",
                                     lines[i]);

        check_response(text, JD_HTTP_DISCONNECTED);
        g_free(text);
    }
    check_response("HTTP/1.1 200 OK\r\nx-id: a\r\nx_!#$%&'*+-.^`|~9: \t\"a\", "
                   "\303\251;\r\ncontent-length: 2\r\n\r\nAA",
                   JD_HTTP_COMPLETED);
}

/* A status that is none of HTTP's ends the call at once, whether or not the
 * connection stays open; so does an informational one that nothing can follow.
 */
static void
test_odd_statuses(void)
{
    static const char *const statuses[] = {"000", "007", "099", "101",
                                           "600", "999", "0"};

    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        char *text = g_strdup_printf("HTTP/1.1 %s Odd\r\nx-id: a\r\n"
                                     "content-length: 2\r\n\r\nAA" RESPONSE_A,
                                     statuses[i]);

        check_response(text, JD_HTTP_DISCONNECTED);
        g_free(text);
    }
    check_response("HTTP/1.1 150 Odd\r\nx-id: a\r\nconnection: close\r\n\r\n",
                   JD_HTTP_DISCONNECTED);
    check_response("HTTP/1.1 199 Odd\r\nx-id: a\r\n\r\n" RESPONSE_A,
                   JD_HTTP_COMPLETED);
    check_response("HTTP/1.1 599 Odd\r\nx-id: a\r\ncontent-length: 0\r\n\r\n",
                   JD_HTTP_COMPLETED);
}

/* Sends a text again and again until the call has ended or `most` bytes were
 * taken.  Returns the number of bytes. */
static size_t
send_without_end(int fd, const Result *res, const char *text, size_t most)
{
    size_t sent = 0;

    while (res->count == 0 && sent < most) {
        ssize_t n = send(fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);

        if (n > 0) {
            sent += (size_t)n;
        }
        if (n < (ssize_t)strlen(text)) {
            JdLoop_RunOnce(&loop, JD_US_PER_MS);
        }
    }
    return sent;
}

/* Bytes without end after `head` end the call soon, and nothing of them is
 * kept. */
static void
check_endless(const char *head, const char *text, JdHttpResult expected)
{
    Result a;
    size_t sent;
    int fd;

    start_client();
    client.max_response = ENDLESS_LIMIT;
    start_call(&a, "a");
    fd = accept_connection();
    send_text(fd, head);
    sent = send_without_end(fd, &a, text, ENDLESS_MOST);
    CU_ASSERT_EQUAL(a.count, 1);
    CU_ASSERT_EQUAL(a.result, expected);
    CU_ASSERT(sent < ENDLESS_MOST);
    CU_ASSERT_EQUAL(client.buffered, 0);
    CU_ASSERT_EQUAL(client.open_count, 0);
    close(fd);
    stop_client();
}

static void
test_endless(void)
{
    static char noise[ENDLESS_LIMIT / 64];
    GString *own = g_string_new(NULL);

    memset(noise, 'x', sizeof(noise) - 1);
    check_endless("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n", noise,
                  JD_HTTP_TOO_LARGE);
    check_endless("HTTP/1.1 200 OK\r\nx-id: a\r\n"
                  "transfer-encoding: chunked\r\n\r\n",
                  "1\r\nA\r\n", JD_HTTP_TOO_LARGE);
    check_endless("HTTP/1.1 200 OK\r\nx-id: a\r\n"
                  "content-length: 999999999999\r\n\r\n",
                  noise, JD_HTTP_TOO_LARGE);
    check_endless("HTTP/1.1 200 OK\r\nx-id: ", noise, JD_HTTP_DISCONNECTED);
    check_endless("HTTP/1.1 200 ", noise, JD_HTTP_DISCONNECTED);
    check_endless("", "\r\n\r\n\r\n\r\n", JD_HTTP_DISCONNECTED);
    check_endless("", noise, JD_HTTP_DISCONNECTED);
    check_endless("", "HTTP/1.1 100 Continue\r\n\r\n", JD_HTTP_TOO_LARGE);
    for (int i = 0; i < 64; i++) {
        g_string_append(own, RESPONSE_B);
    }
    check_endless("", own->str, JD_HTTP_TOO_LARGE);
    g_string_free(own, TRUE);
}

/* The bodies of all calls together have a limit, too. */
static void
test_endless_together(void)
{
    static char part[ENDLESS_LIMIT / 4];
    Result a, b;
    int fd, other;

    memset(part, 'x', sizeof(part) - 1);
    start_client();
    client.max_buffered = ENDLESS_LIMIT;
    start_call(&a, "a");
    fd = accept_connection();
    start_call(&b, "b");
    other = accept_connection();
    /* Unread bytes would make close() reset the connection. */
    CU_ASSERT(read(fd, (char[1024]){0}, 1024) > 0);
    send_text(fd, "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n");
    send_text(other, "HTTP/1.1 200 OK\r\nx-id: b\r\n\r\n");
    for (int i = 0; i < 3; i++) {
        send_without_end(fd, &a, part, 1);
        run_rounds();
    }
    CU_ASSERT_EQUAL(a.count, 0);
    send_without_end(other, &b, part, ENDLESS_MOST);
    CU_ASSERT_EQUAL(b.result, JD_HTTP_TOO_LARGE);
    CU_ASSERT_EQUAL(a.count, 0);
    close(fd);
    close(other);
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_COMPLETED);
    CU_ASSERT_EQUAL(client.buffered, 0);
    stop_client();
}

/* The server responds before it has read the body. */
static void
test_early_response(void)
{
    char *body = g_malloc0(LARGE_BODY);
    JdHttpRequest rq = {.method = "POST",
                        .path = "/",
                        .body = body,
                        .body_len = LARGE_BODY,
                        .timeout = TIMEOUT};
    Result a = {0}, b;
    int fd, other;

    start_client();
    JdHttpc_Send(&client, &rq, on_done, &a);
    fd = accept_connection();
    send_text(fd, "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n");
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.status, 413);
    start_call(&b, "b");
    other = accept_connection();
    send_text(other, RESPONSE_B);
    run_until(&b.count, 1);
    CU_ASSERT_STRING_EQUAL(b.body, "BB");
    g_free(body);
    close(fd);
    close(other);
    stop_client();
}

static void
test_no_response(void)
{
    JdHttpRequest rq = {
        .method = "GET", .path = "/", .timeout = SHORT_TIMEOUT};
    Result a = {0}, b = {0};
    int fd;

    start_client();
    JdHttpc_Send(&client, &rq, on_done, &a);
    fd = accept_connection();
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_TIMED_OUT);
    close(fd);
    close(listener);
    run_rounds();
    JdHttpc_Send(&client, &rq, on_done, &b);
    run_until(&b.count, 1);
    CU_ASSERT_EQUAL(b.count, 1);
    CU_ASSERT_EQUAL(b.result, JD_HTTP_NOT_SENT);
    JdHttpc_Finish(&client);
}

/* A response may take longer than its timeout while bytes arrive. */
static void
test_slow_response(void)
{
    JdHttpRequest rq = {.method = "GET",
                        .path = "/",
                        .timeout = SLOW_TIMEOUT,
                        .read_timeout = SLOW_TIMEOUT};
    uint64_t begin;
    Result a = {0};
    int fd;

    start_client();
    JdHttpc_Send(&client, &rq, on_done, &a);
    fd = accept_connection();
    begin = JdClock_Now(&loop.clock);
    send_text(fd, "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n");
    for (int i = 0; i < PARTS; i++) {
        usleep(SLOW_TIMEOUT / 6);
        send_text(fd, "x");
    }
    CU_ASSERT_TRUE(JdClock_Now(&loop.clock) - begin > SLOW_TIMEOUT);
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_COMPLETED);
    CU_ASSERT_STRING_EQUAL(a.body, "xxxxxxxx");
    close(fd);
    stop_client();
}

/* A response that stops halfway times out. */
static void
test_stalled_response(void)
{
    JdHttpRequest rq = {.method = "GET",
                        .path = "/",
                        .timeout = SHORT_TIMEOUT,
                        .read_timeout = SHORT_TIMEOUT};
    Result a = {0};
    int fd;

    start_client();
    JdHttpc_Send(&client, &rq, on_done, &a);
    fd = accept_connection();
    send_text(fd, "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nx");
    run_until(&a.count, 1);
    CU_ASSERT_EQUAL(a.result, JD_HTTP_TIMED_OUT);
    close(fd);
    stop_client();
}

/* ---- server ------------------------------------------------------------ */

static JdServer server;
static JdServerRequest *received[8];
static int received_count;
static int disconnected_count;
static size_t body_len;

static void
on_request(void *ctx, JdServerRequest *rq)
{
    (void)ctx;
    received[received_count++] = rq;
    body_len = rq->body->len;
}

static void
on_disconnected(void *ctx, JdServerRequest *rq)
{
    (void)ctx;
    (void)rq;
    disconnected_count++;
}

static const JdServerOps server_ops = {.request = on_request,
                                       .disconnected = on_disconnected};

/* Starts the server and returns a connection to it. */
static int
start_server(void)
{
    char address[JD_ADDRESS_MAX];
    struct sockaddr_in sin;
    int fd;

    received_count = 0;
    disconnected_count = 0;
    Unit_FindAddress(&sin, address);
    CU_ASSERT_EQUAL(
        JdServer_Init(&server, &loop, address, 1000, &server_ops, NULL, NULL),
        JD_OK);
    fd = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    run_rounds();
    return fd;
}

static void
stop_server(int fd)
{
    close(fd);
    run_rounds();
    JdServer_StopAccepting(&server);
    run_rounds();
}

/*
 * Returns what the server sends next: an empty string if it closed the
 * connection, "nothing" if it sends nothing for `wait` us.
 */
static const char *
receive_within(int fd, uint64_t wait)
{
    uint64_t end = JdClock_Now(&loop.clock) + wait;
    static char buf[4096];
    ssize_t n;

    do {
        run_rounds();
        n = read(fd, buf, sizeof(buf) - 1);
    } while (n < 0 && JdClock_Now(&loop.clock) < end);
    buf[n > 0 ? n : 0] = '\0';
    return n < 0 ? "nothing" : buf;
}

static const char *
receive(int fd)
{
    return receive_within(fd, TIMEOUT);
}

#define GET(path) "GET " path " HTTP/1.1\r\nhost: h\r\n\r\n"

/* Requests are dispatched as they arrive; responses keep their order. */
static void
test_pipeline(void)
{
    int fd = start_server();
    const char *text;

    send_text(fd, GET("/1") GET("/2"));
    run_until(&received_count, 2);
    CU_ASSERT_EQUAL_FATAL(received_count, 2);
    JdServer_Reply(received[1], 200, NULL, "two", 3);
    CU_ASSERT_STRING_EQUAL(receive_within(fd, SHORT_TIMEOUT), "nothing");
    JdServer_Reply(received[0], 200, NULL, "one", 3);
    text = receive(fd);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "one"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "two"));
    CU_ASSERT(strstr(text, "one") < strstr(text, "two"));
    CU_ASSERT_PTR_NULL(strstr(text, "connection: close"));
    stop_server(fd);
}

/* A disconnect is noticed while requests are pending. */
static void
test_disconnect(void)
{
    int fd = start_server();

    send_text(fd, GET("/1") GET("/2") "GET /3 HTTP/1.1\r\nho");
    run_until(&received_count, 2);
    CU_ASSERT_EQUAL(received_count, 2);
    close(fd);
    run_until(&disconnected_count, 2);
    CU_ASSERT_EQUAL(disconnected_count, 2);
    stop_server(-1);
}

static void
test_bodies(void)
{
    int fd = start_server();

    send_text(
        fd, "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n");
    CU_ASSERT_EQUAL(received_count, 0);
    send_text(fd, "2\r\nde\r\n0\r\nx-trailer: "
                  "0123456789012345678901234567890123456789\r\n\r\n");
    run_until(&received_count, 1);
    CU_ASSERT_EQUAL_FATAL(received_count, 1);
    CU_ASSERT_EQUAL(body_len, 5);
    JdServer_Reply(received[0], 204, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), "204"));
    send_text(fd,
              "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n");
    for (int i = 0; i < 30; i++) {
        send_text(fd, "0123456789012345678901234567890123456789");
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), "413"));
    CU_ASSERT_EQUAL(received_count, 1);
    stop_server(fd);
}

static void
test_malformed_request(void)
{
    int fd = start_server();

    send_text(fd, "this is no request\r\n\r\n");
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), "400"));
    CU_ASSERT_EQUAL(received_count, 0);
    stop_server(fd);
    fd = start_server();
    send_text(fd, "GET / HTTP/1.1\r\nhost: h\r\nCache  ontrol: no\r\n\r\n");
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), "400"));
    CU_ASSERT_EQUAL(received_count, 0);
    stop_server(fd);
}

/* After JdServer_CloseAfterResponse and the next response, the server takes no
 * more requests and closes the connection after the last response. */
static void
test_close_after_response(void)
{
    int fd = start_server();
    const char *text;

    send_text(fd, GET("/1") GET("/2"));
    run_until(&received_count, 2);
    JdServer_CloseAfterResponse(&server);
    JdServer_Reply(received[0], 200, NULL, "one", 3);
    send_text(fd, GET("/3"));
    CU_ASSERT_EQUAL(received_count, 2);
    JdServer_Reply(received[1], 200, NULL, "two", 3);
    text = receive(fd);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "one"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "two"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "connection: close"));
    CU_ASSERT_STRING_EQUAL(receive(fd), "");
    CU_ASSERT_EQUAL(disconnected_count, 0);
    stop_server(fd);
}

/* Requests pending when the server stops accepting are answered. */
static void
test_stop_accepting(void)
{
    int fd = start_server();

    send_text(fd, GET("/1") GET("/2"));
    run_until(&received_count, 2);
    JdServer_StopAccepting(&server);
    send_text(fd, GET("/3"));
    CU_ASSERT_EQUAL(received_count, 2);
    JdServer_Reply(received[1], 200, NULL, "two", 3);
    JdServer_Reply(received[0], 200, NULL, "one", 3);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), "two"));
    close(fd);
    run_rounds();
}

/* Reads all that the server sends, a little at a time, and sends a byte each
 * time; returns the number of bytes. */
static size_t
receive_slowly(int fd)
{
    char buf[SLOW_CALLER_READ];
    size_t total = 0;
    ssize_t n = 1;

    while (n > 0 || (n < 0 && errno == EAGAIN)) {
        uint64_t end = JdClock_Now(&loop.clock) + SLOW_CALLER_PAUSE;

        while (JdClock_Now(&loop.clock) < end) {
            JdLoop_RunOnce(&loop, JD_US_PER_MS);
        }
        send(fd, "x", 1, MSG_NOSIGNAL);
        n = read(fd, buf, sizeof(buf));
        total += n > 0 ? (size_t)n : 0;
    }
    return total;
}

/* A response is not cut where its caller takes it slowly, though the server
 * has written all of it and would close. */
static void
test_slow_caller(void)
{
    int fd = start_server();
    int room = SLOW_CALLER_ROOM;
    char *body = g_malloc0(SLOW_CALLER_BODY);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
    send_text(fd, GET("/1"));
    run_until(&received_count, 1);
    JdServer_CloseAfterResponse(&server);
    JdServer_Reply(received[0], 200, NULL, body, SLOW_CALLER_BODY);
    CU_ASSERT_TRUE(JdServer_OwesBytes(&server));
    CU_ASSERT_TRUE(receive_slowly(fd) > SLOW_CALLER_BODY);
    CU_ASSERT_FALSE(JdServer_OwesBytes(&server));
    g_free(body);
    stop_server(fd);
}

static int
init(void)
{
    JdLoop_Init(&loop);
    return 0;
}

void
Unit_AddHttp(void)
{
    CU_pSuite s = CU_add_suite("http", init, NULL);

    CU_add_test(s, "reuse", test_reuse);
    CU_add_test(s, "late response", test_late_response);
    CU_add_test(s, "extra bytes", test_extra_bytes);
    CU_add_test(s, "no length", test_no_length);
    CU_add_test(s, "complete and malformed responses", test_responses);
    CU_add_test(s, "spoiled heads", test_spoiled_heads);
    CU_add_test(s, "odd statuses", test_odd_statuses);
    CU_add_test(s, "early response", test_early_response);
    CU_add_test(s, "endless response", test_endless);
    CU_add_test(s, "endless responses together", test_endless_together);
    CU_add_test(s, "no response", test_no_response);
    CU_add_test(s, "slow response", test_slow_response);
    CU_add_test(s, "stalled response", test_stalled_response);
    CU_add_test(s, "pipeline", test_pipeline);
    CU_add_test(s, "disconnect", test_disconnect);
    CU_add_test(s, "bodies", test_bodies);
    CU_add_test(s, "malformed request", test_malformed_request);
    CU_add_test(s, "close after response", test_close_after_response);
    CU_add_test(s, "stop accepting", test_stop_accepting);
    CU_add_test(s, "slow caller", test_slow_caller);
}
