/*
 * A server that is not for callers, at its limit of connections: which of them
 * give way to a new one.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "../../base/base.h"
#include "unit.h"

#define TIMEOUT (5 * JD_US_PER_S)
#define MAX_BODY 1000
#define GET "GET / HTTP/1.1\r\nhost: h\r\n\r\n"

static JdLoop loop;
static JdHttpd server;
static struct sockaddr_in address;
static h2o_req_t *received; /* the last request; NULL: none */
static uint64_t shed_count;

static void
run_for(uint64_t time)
{
    uint64_t end = JdClock_Now(&loop.clock) + time;

    while (JdClock_Now(&loop.clock) < end) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    received = req;
}

static int
start_client(const char *text)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
    run_for(20 * JD_US_PER_MS);
    return fd;
}

/* Runs until a request has come. */
static h2o_req_t *
await_request(void)
{
    uint64_t end = JdClock_Now(&loop.clock) + TIMEOUT;
    h2o_req_t *req;

    while (received == NULL && JdClock_Now(&loop.clock) < end) {
        JdLoop_RunOnce(&loop, JD_US_PER_MS);
    }
    req = received;
    received = NULL;
    return req;
}

/* Returns the first bytes that the server has sent, or an empty text. */
static const char *
receive(int fd)
{
    static char buf[1024];
    ssize_t n;

    run_for(20 * JD_US_PER_MS);
    n = read(fd, buf, sizeof(buf) - 1);
    buf[n > 0 ? n : 0] = '\0';
    return buf;
}

static void
start_server(size_t max_open)
{
    char text[JD_ADDRESS_MAX];

    Unit_FindAddress(&address, text);
    CU_ASSERT_EQUAL_FATAL(
        JdHttpd_Init(&server, &loop, text, MAX_BODY, on_request, NULL, NULL),
        JD_OK);
    server.acceptor.max_open = max_open;
    server.acceptor.shed = &shed_count;
    shed_count = 0;
    received = NULL;
}

static void
stop_server(void)
{
    run_for(20 * JD_US_PER_MS);
    CU_ASSERT_EQUAL(server.acceptor.open_count, 0);
    JdHttpd_Finish(&server);
}

/* A connection that has sent nothing gives way, and one that stopped within a
 * head, but not one whose request is being handled. */
static void
test_silent(void)
{
    int busy, idle, stopped, other;
    h2o_req_t *first, *second;

    start_server(3);
    idle = start_client("");
    stopped = start_client("GET / HTTP/1.1\r\nx-long: ");
    run_for(1500 * JD_US_PER_MS);
    busy = start_client(GET);
    first = await_request();
    CU_ASSERT_PTR_NOT_NULL_FATAL(first);
    run_for(600 * JD_US_PER_MS);
    other = start_client(GET);
    second = await_request();
    CU_ASSERT_PTR_NOT_NULL_FATAL(second);
    CU_ASSERT_EQUAL(shed_count, 2);
    CU_ASSERT_EQUAL(server.acceptor.open_count, 2);
    JdHttpd_Reply(first, 200, NULL, "a", 1);
    JdHttpd_Reply(second, 200, NULL, "b", 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(busy), " 200 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(other), " 200 "));
    close(idle);
    close(stopped);
    close(busy);
    close(other);
    stop_server();
}

/* A connection that was answered and is kept gives way as well. */
static void
test_answered(void)
{
    int kept, other;
    h2o_req_t *req;

    start_server(1);
    kept = start_client(GET);
    req = await_request();
    CU_ASSERT_PTR_NOT_NULL_FATAL(req);
    JdHttpd_Reply(req, 200, NULL, "a", 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(kept), " 200 "));
    other = start_client(GET);
    req = await_request();
    CU_ASSERT_PTR_NOT_NULL_FATAL(req);
    CU_ASSERT_EQUAL(shed_count, 1);
    JdHttpd_Reply(req, 200, NULL, "b", 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(receive(other), " 200 "));
    close(kept);
    close(other);
    stop_server();
}

static int
init(void)
{
    JdLoop_Init(&loop);
    return 0;
}

void
Unit_AddAcceptor(void)
{
    CU_pSuite s = CU_add_suite("acceptor", init, NULL);

    CU_add_test(s, "silent connections give way", test_silent);
    CU_add_test(s, "kept connections give way", test_answered);
}
