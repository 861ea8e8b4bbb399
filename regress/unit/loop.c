/*
 * The loop: what a timer does to sockets.  A write and a close in one timer
 * left a freed socket in the library's lists, and a socket that got its memory
 * sent the loop around for ever.
 */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>

#include "../../base/base.h"
#include "unit.h"

#define ROUNDS 200
#define SOCKETS 8
/* Far more than the rounds take, in s. */
#define STUCK_AFTER 10
/* A step of the time of day. */
#define STEP_BACK_MS 5000

static JdLoop loop;
static JdTimer timer;
static h2o_socket_t *sock[SOCKETS];
static int far_end[SOCKETS];
static int rounds;

static void
on_read(h2o_socket_t *s, const char *err)
{
    (void)s;
    (void)err;
}

static void
open_socket(int i)
{
    int fd[2];

    CU_ASSERT_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd) ==
                    0);
    sock[i] = h2o_evloop_socket_create(loop.evloop, fd[0], 0);
    far_end[i] = fd[1];
    h2o_socket_read_start(sock[i], on_read);
}

/* Opens sockets anew where others were closed. */
static void
on_written(h2o_socket_t *s, const char *err)
{
    (void)s;
    (void)err;
    for (int i = 0; i < SOCKETS; i++) {
        if (sock[i] == NULL) {
            open_socket(i);
        }
    }
}

static void
on_timer(void *ctx)
{
    h2o_iovec_t iov = h2o_iovec_init(H2O_STRLIT("bytes"));

    (void)ctx;
    for (int i = 0; i < SOCKETS; i++) {
        h2o_socket_write(sock[i], &iov, 1, on_written);
    }
    for (int i = 1; i < SOCKETS - 1; i++) {
        h2o_socket_close(sock[i]);
        close(far_end[i]);
        sock[i] = NULL;
    }
    if (++rounds == ROUNDS) {
        JdLoop_Stop(&loop);
        return;
    }
    JdTimer_Arm(&loop.clock, &timer, 2 * JD_US_PER_MS);
}

static void
test_write_and_close(void)
{
    JdLoop_Init(&loop);
    JdTimer_Init(&timer, on_timer, NULL);
    for (int i = 0; i < SOCKETS; i++) {
        open_socket(i);
    }
    JdTimer_Arm(&loop.clock, &timer, 0);
    /* The signal ends the program: a loop that hangs does not come back. */
    alarm(STUCK_AFTER);
    JdLoop_Run(&loop);
    alarm(0);
    CU_ASSERT_EQUAL(rounds, ROUNDS);
}

static void
on_counted(void *ctx)
{
    ++*(unsigned *)ctx;
}

/*
 * The time of day, by which the library measures its own timeouts, steps back
 * between two rounds: timers of the steady clock go on.
 */
static void
test_step_back(void)
{
    unsigned fired = 0;
    JdTimer counted;
    JdLoop lp;

    JdLoop_Init(&lp);
    JdTimer_Init(&counted, on_counted, &fired);
    for (unsigned i = 1; i <= 3; i++) {
        JdTimer_Arm(&lp.clock, &counted, 0);
        /* The library took the time last before the step. */
        lp.evloop->_now += STEP_BACK_MS;
        for (unsigned j = 0; j < 2; j++) {
            JdLoop_RunOnce(&lp, 0);
        }
        CU_ASSERT_EQUAL(fired, i);
    }
    JdLoop_Finish(&lp);
}

void
Unit_AddLoop(void)
{
    CU_pSuite s = CU_add_suite("loop", NULL, NULL);

    CU_add_test(s, "clock steps back", test_step_back);
    CU_add_test(s, "write and close", test_write_and_close);
}
