/*
 * The server of callers where there is little room: what is refused, at which
 * moment, and what is not read.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "../../base/base.h"
#include "unit.h"

#define MB ((size_t)1000000)
#define TIMEOUT (3 * JD_US_PER_S)
#define ROUNDS 20
#define MAX_BODY (8U << 20)
#define LARGE_BODY (6U << 20)
#define LONG_HEAD 20000U
/* Bytes that a caller tries to send after a refusal. */
#define SENT_MOST ((size_t)512 << 20)
#define REQUESTS_MAX 512
#define FDS_MAX 8

static JdLoop loop;
static JdServer server;
static JdMemory memory;
static struct sockaddr_in address;
static JdServerRequest *received[REQUESTS_MAX];
static int received_count;
static int disconnected_count;
static int shed_count[JD_SERVER_SHED_MAX];
static int fds[FDS_MAX];
static int fd_count;

static void
run_rounds(void)
{
    for (int i = 0; i < ROUNDS; i++) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
}

static void
run_for(uint64_t time)
{
    uint64_t end = JdClock_Now(&loop.clock) + time;

    while (JdClock_Now(&loop.clock) < end) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
}

static void
on_request(void *ctx, JdServerRequest *rq)
{
    (void)ctx;
    CU_ASSERT_FATAL(received_count < REQUESTS_MAX);
    received[received_count++] = rq;
}

static void
on_disconnected(void *ctx, JdServerRequest *rq)
{
    (void)ctx;
    (void)rq;
    disconnected_count++;
}

static void
on_shed(void *ctx, JdServerShed what)
{
    (void)ctx;
    shed_count[what]++;
}

static const JdServerOps server_ops = {
    .request = on_request, .disconnected = on_disconnected, .shed = on_shed};

static int
start_client(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    CU_ASSERT_FATAL(fd_count < FDS_MAX);
    fds[fd_count++] = fd;
    run_rounds();
    return fd;
}

/* Starts a server with the memory of a small process. */
static void
start_server(void)
{
    char text[JD_ADDRESS_MAX];

    received_count = 0;
    disconnected_count = 0;
    fd_count = 0;
    memset(shed_count, 0, sizeof(shed_count));
    Unit_FindAddress(&address, text);
    CU_ASSERT_EQUAL_FATAL(
        JdServer_Init(&server, &loop, text, MAX_BODY, &server_ops, NULL, NULL),
        JD_OK);
    JdMemory_Init(&memory, 40 * MB);
    JdServer_SetMemory(&server, &memory);
}

/* Closes all and checks that all room has been given back. */
static void
stop_server(void)
{
    for (int i = 0; i < fd_count; i++) {
        close(fds[i]);
    }
    run_rounds();
    JdServer_StopAccepting(&server);
    run_rounds();
    CU_ASSERT_EQUAL(memory.used, 0);
}

static void
send_text(int fd, const char *text)
{
    CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
    run_rounds();
}

/* Sends `n` bytes as far as the server takes them; returns their number. */
static size_t
send_bytes(int fd, size_t n)
{
    static char bytes[1U << 20];
    uint64_t end = JdClock_Now(&loop.clock) + TIMEOUT;
    size_t sent = 0;

    memset(bytes, 'x', sizeof(bytes));
    while (sent < n && JdClock_Now(&loop.clock) < end) {
        ssize_t k =
            send(fd, bytes, MIN(sizeof(bytes), n - sent), MSG_NOSIGNAL);

        if (k < 0 && errno != EAGAIN) {
            break;
        }
        sent += k > 0 ? (size_t)k : 0;
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
    return sent;
}

/* Returns what the server sends next, or an empty text. */
static const char *
receive(int fd)
{
    uint64_t end = JdClock_Now(&loop.clock) + TIMEOUT;
    static char buf[4096];
    ssize_t n;

    do {
        run_rounds();
        n = read(fd, buf, sizeof(buf) - 1);
    } while (n < 0 && errno == EAGAIN && JdClock_Now(&loop.clock) < end);
    buf[n > 0 ? n : 0] = '\0';
    return buf;
}

#define HEAD(length)                                                          \
    "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: " length "\r\n\r\n"
#define GET "GET / HTTP/1.1\r\nhost: h\r\n\r\n"

/* A body over the limit is refused by its announced length, before a byte of
 * it has come. */
static void
test_announced(void)
{
    int fd;

    start_server();
    fd = start_client();
    send_text(fd, HEAD("10737418240"));
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), " 413 "));
    CU_ASSERT_EQUAL(received_count, 0);
    stop_server();
}

/* A body of legal size that finds no room is refused as not run, at once; a
 * small one is taken all the same, and a large one once there is room. */
static void
test_no_room(void)
{
    int first, second, third;

    start_server();
    first = start_client();
    second = start_client();
    third = start_client();
    send_text(first, HEAD("6291456"));
    send_text(second, HEAD("6291456"));
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(second), " 503 "));
    send_text(third, HEAD("3") "abc");
    CU_ASSERT_EQUAL_FATAL(received_count, 1);
    JdServer_Reply(received[0], 200, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(third), " 200 "));
    CU_ASSERT_EQUAL(send_bytes(first, LARGE_BODY), LARGE_BODY);
    run_rounds();
    CU_ASSERT_EQUAL_FATAL(received_count, 2);
    CU_ASSERT_EQUAL(received[1]->body->len, LARGE_BODY);
    JdServer_Reply(received[1], 200, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(first), " 200 "));
    send_text(third, HEAD("6291456"));
    CU_ASSERT_EQUAL(send_bytes(third, LARGE_BODY), LARGE_BODY);
    run_rounds();
    CU_ASSERT_EQUAL_FATAL(received_count, 3);
    JdServer_Reply(received[2], 200, NULL, NULL, 0);
    stop_server();
}

/* The rest of a body that is refused is not read without end, and the refusal
 * arrives. */
static void
test_refused_rest(void)
{
    int fd;

    start_server();
    fd = start_client();
    send_text(fd, HEAD("10737418240"));
    CU_ASSERT_TRUE(send_bytes(fd, SENT_MOST) < SENT_MOST / 2);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(fd), " 413 "));
    stop_server();
}

/* Requests behind 64 unanswered ones are not read, and a caller that leaves
 * meanwhile is noticed. */
static void
test_pending(void)
{
    size_t sent = 0;
    int fd;

    start_server();
    fd = start_client();
    for (int i = 0; i < 40000; i++) {
        ssize_t n = send(fd, GET, strlen(GET), MSG_NOSIGNAL);

        sent += n > 0 ? (size_t)n : 0;
        if (i % 1000 == 0) {
            JdLoop_RunOnce(&loop, JD_US_PER_MS);
        }
    }
    run_rounds();
    CU_ASSERT_EQUAL(received_count, 64);
    CU_ASSERT_TRUE(sent > 64 * strlen(GET));
    CU_ASSERT_TRUE(memory.used < 2 * MB);
    JdServer_Reply(received[0], 200, NULL, "one", 3);
    run_rounds();
    CU_ASSERT_EQUAL(received_count, 65);
    close(fd);
    fd_count = 0;
    run_for(200 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(disconnected_count, 64);
    stop_server();
}

/* Requests behind refused ones are taken one at a time, each after a pause,
 * and more of them again once they are answered. */
static void
test_refused_pipeline(void)
{
    int fd, answered = 0;

    start_server();
    fd = start_client();
    for (int i = 0; i < 200; i++) {
        CU_ASSERT_EQUAL(send(fd, GET, strlen(GET), MSG_NOSIGNAL),
                        (ssize_t)strlen(GET));
    }
    run_rounds();
    CU_ASSERT_EQUAL(received_count, 64);
    while (answered < 64) {
        JdServer_Reply(received[answered++], 503, NULL, NULL, 0);
    }
    run_rounds();
    CU_ASSERT_EQUAL(received_count, 64);
    run_for(200 * JD_US_PER_MS);
    CU_ASSERT_EQUAL_FATAL(received_count, 65);
    JdServer_Reply(received[answered++], 503, NULL, NULL, 0);
    run_rounds();
    CU_ASSERT_EQUAL(received_count, 65);
    run_for(200 * JD_US_PER_MS);
    CU_ASSERT_EQUAL_FATAL(received_count, 66);
    while (answered < received_count) {
        JdServer_Reply(received[answered++], 200, NULL, NULL, 0);
        run_rounds();
    }
    CU_ASSERT_EQUAL(received_count, 200);
    stop_server();
}

/* A caller that does not take its answers gets no more requests read; what it
 * left is read once it takes them. */
static void
test_unread(void)
{
    static char body[200U << 10];
    int fd, answered = 0;

    start_server();
    fd = start_client();
    for (int i = 0; i < 40; i++) {
        send_text(fd, GET);
        while (answered < received_count) {
            JdServer_Reply(received[answered++], 200, NULL, body,
                           sizeof(body));
        }
    }
    CU_ASSERT_TRUE(received_count < 40);
    CU_ASSERT_TRUE(memory.used < 2 * MB);
    for (int i = 0; i < 400 && received_count < 40; i++) {
        char buf[65536];

        while (read(fd, buf, sizeof(buf)) > 0) {
        }
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
        while (answered < received_count) {
            JdServer_Reply(received[answered++], 200, NULL, body,
                           sizeof(body));
        }
    }
    CU_ASSERT_EQUAL(received_count, 40);
    stop_server();
}

/* Where something large finds no room, a large answer that its caller does not
 * take is given up, but not one that is taken. */
static void
test_slow_reader(void)
{
    static char body[LARGE_BODY / 2];
    int slow, quick;

    memset(body, 'x', sizeof(body));
    start_server();
    slow = start_client();
    quick = start_client();
    send_text(slow, GET);
    send_text(quick, GET);
    CU_ASSERT_EQUAL_FATAL(received_count, 2);
    JdServer_Reply(received[0], 200, NULL, body, sizeof(body));
    JdServer_Reply(received[1], 200, NULL, body, sizeof(body));
    for (int i = 0; i < 30; i++) {
        CU_ASSERT_FALSE(
            JdMemory_Take(&memory, JD_MEMORY_LARGE,
                          JdMemory_Room(&memory, JD_MEMORY_LARGE) + 1));
        receive(quick);
        run_for(80 * JD_US_PER_MS);
    }
    CU_ASSERT_EQUAL(shed_count[JD_SERVER_SHED_STALLED], 1);
    CU_ASSERT_STRING_NOT_EQUAL(receive(quick), "");
    CU_ASSERT_TRUE(memory.used < LARGE_BODY);
    stop_server();
}

/* Where there are as many connections as are allowed, one that is idle gives
 * way to a new one, but not one with a request. */
static void
test_descriptors(void)
{
    int busy, idle, other;

    start_server();
    server.acceptor.max_open = 2;
    busy = start_client();
    idle = start_client();
    send_text(busy, GET);
    CU_ASSERT_EQUAL(received_count, 1);
    run_for(150 * JD_US_PER_MS);
    other = start_client();
    run_for(50 * JD_US_PER_MS);
    send_text(other, GET);
    CU_ASSERT_EQUAL_FATAL(received_count, 2);
    CU_ASSERT_STRING_EQUAL(receive(idle), "");
    CU_ASSERT_EQUAL(shed_count[JD_SERVER_SHED_IDLE], 1);
    JdServer_Reply(received[0], 200, NULL, NULL, 0);
    JdServer_Reply(received[1], 200, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(busy), " 200 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(other), " 200 "));
    stop_server();
}

/* Where a request finds no room, one of which nothing comes is given up. */
static void
test_stalled_head(void)
{
    int stalled, other;

    start_server();
    stalled = start_client();
    other = start_client();
    send_text(stalled, "GET / HTTP/1.1\r\nhost: h\r\nx-long: ");
    CU_ASSERT_EQUAL(send_bytes(stalled, LONG_HEAD), LONG_HEAD);
    JdMemory_TakeAnyway(&memory, JdMemory_Room(&memory, JD_MEMORY_FIRST));
    CU_ASSERT_FALSE(JdServer_HasRoom(&server, 1));
    run_for(600 * JD_US_PER_MS);
    send_text(other, GET);
    CU_ASSERT_EQUAL(shed_count[JD_SERVER_SHED_UNFINISHED], 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(stalled), " 408 "));
    CU_ASSERT_EQUAL_FATAL(received_count, 1);
    JdServer_Reply(received[0], 200, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(other), " 200 "));
    JdMemory_Give(&memory, memory.used);
    CU_ASSERT_TRUE(JdServer_HasRoom(&server, 1));
    stop_server();
}

/* The same for one that comes byte by byte. */
static void
test_trickled_head(void)
{
    int slow, other;

    start_server();
    slow = start_client();
    other = start_client();
    send_text(slow, "GET / HTTP/1.1\r\nhost: h\r\nx-long: ");
    CU_ASSERT_EQUAL(send_bytes(slow, LONG_HEAD / 2), LONG_HEAD / 2);
    JdMemory_TakeAnyway(&memory, JdMemory_Room(&memory, JD_MEMORY_FIRST));
    for (int i = 0; i < 24; i++) {
        send_text(slow, "x");
        run_for(80 * JD_US_PER_MS);
    }
    send_text(slow, "x");
    send_text(other, GET);
    CU_ASSERT_EQUAL(shed_count[JD_SERVER_SHED_UNFINISHED], 1);
    CU_ASSERT_EQUAL_FATAL(received_count, 1);
    JdServer_Reply(received[0], 200, NULL, NULL, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(other), " 200 "));
    JdMemory_Give(&memory, memory.used);
    stop_server();
}

static int
init(void)
{
    JdLoop_Init(&loop);
    return 0;
}

void
Unit_AddCallers(void)
{
    CU_pSuite s = CU_add_suite("callers", init, NULL);

    CU_add_test(s, "announced body over the limit", test_announced);
    CU_add_test(s, "no room for a body", test_no_room);
    CU_add_test(s, "rest of a refused body", test_refused_rest);
    CU_add_test(s, "requests behind unanswered ones", test_pending);
    CU_add_test(s, "requests behind refused ones", test_refused_pipeline);
    CU_add_test(s, "answers that are not read", test_unread);
    CU_add_test(s, "answer that is hardly taken", test_slow_reader);
    CU_add_test(s, "no descriptor", test_descriptors);
    CU_add_test(s, "stalled head", test_stalled_head);
    CU_add_test(s, "trickled head", test_trickled_head);
}
