/*
 * Event loop.  A timer that wrote to a socket and closed it left the freed
 * socket in a list of h2o; a new socket at the same address then made the loop
 * run forever.  A wall clock that was set back must not stop the timers. After
 * a pause of the process, timers ran before what had arrived was read.
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
/* Far more than the rounds take. */
#define HANG_TIMEOUT_S 10
/* How far the wall clock is set back. */
#define STEP_BACK_MS 5000

static JdLoop loop;
static JdTimer timer;
static h2o_socket_t *sock[SOCKETS];
static int peer_fd[SOCKETS];
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
    peer_fd[i] = fd[1];
    h2o_socket_read_start(sock[i], on_read);
}

/* Replaces the closed sockets, so that memory of freed ones is reused. */
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
        close(peer_fd[i]);
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
    /* SIGALRM ends the program if the loop hangs. */
    alarm(HANG_TIMEOUT_S);
    JdLoop_Run(&loop);
    alarm(0);
    CU_ASSERT_EQUAL(rounds, ROUNDS);
}

static void
count_expiry(void *ctx)
{
    ++*(unsigned *)ctx;
}

/*
 * The wall clock, which h2o's own timeouts use, is set back between two
 * rounds.  Timers use the monotonic clock and must still expire.
 */
static void
test_clock_set_back(void)
{
    unsigned fired = 0;
    JdTimer counted;
    JdLoop lp;

    JdLoop_Init(&lp);
    JdTimer_Init(&counted, count_expiry, &fired);
    for (unsigned i = 1; i <= 3; i++) {
        JdTimer_Arm(&lp.clock, &counted, 0);
        /* As if h2o had read the clock before it was set back. */
        lp.evloop->_now += STEP_BACK_MS;
        for (unsigned j = 0; j < 2; j++) {
            JdLoop_RunOnce(&lp, 0);
        }
        CU_ASSERT_EQUAL(fired, i);
    }
    JdLoop_Finish(&lp);
}

/* Time for which the process does not run: far more than a timer is late by.
 */
#define PAUSE_US (400 * JD_US_PER_MS)
/* Sockets on which something arrives meanwhile: more than h2o reads in one
 * round. */
#define WAITING_SOCKETS 600

static struct {
    JdLoop loop;
    int peer[WAITING_SOCKETS];
    unsigned read_count;
    bool has_fired;
    unsigned read_before_timer;
    uint64_t pause;
} paused;

static void
count_read(h2o_socket_t *s, const char *err)
{
    (void)err;
    h2o_buffer_consume(&s->input, s->input->size);
    paused.read_count++;
}

/* The process does not run for a while, in the middle of a round; the other
 * sides of all sockets go on. */
static void
pause_and_receive(h2o_socket_t *s, const char *err)
{
    (void)err;
    h2o_buffer_consume(&s->input, s->input->size);
    usleep(PAUSE_US);
    for (unsigned i = 0; i < WAITING_SOCKETS; i++) {
        CU_ASSERT_EQUAL(write(paused.peer[i], "x", 1), 1);
    }
}

static void
on_silence_timer(void *ctx)
{
    (void)ctx;
    paused.has_fired = true;
    paused.read_before_timer = paused.read_count;
}

static void
on_pause(void *ctx, uint64_t length)
{
    (void)ctx;
    paused.pause = length;
}

static h2o_socket_t *
add_socket(int *peer, h2o_socket_cb callback)
{
    h2o_socket_t *s;
    int fd[2];

    CU_ASSERT_FATAL(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd) ==
                    0);
    s = h2o_evloop_socket_create(paused.loop.evloop, fd[0], 0);
    *peer = fd[1];
    h2o_socket_read_start(s, callback);
    return s;
}

/*
 * A timer that came due while the process did not run must not be believed
 * before what arrived meanwhile has been read: it would take the pause of its
 * own process for the silence of others.
 */
static void
test_reads_before_timers(void)
{
    h2o_socket_t *socks[WAITING_SOCKETS + 1];
    JdTimer silence;
    int peer;

    JdLoop_Init(&paused.loop);
    JdLoop_ReportPauses(&paused.loop, on_pause, NULL);
    socks[WAITING_SOCKETS] = add_socket(&peer, pause_and_receive);
    for (unsigned i = 0; i < WAITING_SOCKETS; i++) {
        socks[i] = add_socket(&paused.peer[i], count_read);
    }
    JdTimer_Init(&silence, on_silence_timer, NULL);
    JdTimer_Arm(&paused.loop.clock, &silence, 0);
    CU_ASSERT_EQUAL(write(peer, "x", 1), 1);
    for (unsigned i = 0; i < ROUNDS && !paused.has_fired; i++) {
        JdLoop_RunOnce(&paused.loop, JD_US_PER_MS);
    }
    CU_ASSERT(paused.has_fired);
    CU_ASSERT_EQUAL(paused.read_before_timer, WAITING_SOCKETS);
    CU_ASSERT(paused.pause >= PAUSE_US / 2);
    for (unsigned i = 0; i <= WAITING_SOCKETS; i++) {
        h2o_socket_close(socks[i]);
    }
    for (unsigned i = 0; i < WAITING_SOCKETS; i++) {
        close(paused.peer[i]);
    }
    close(peer);
    JdLoop_Finish(&paused.loop);
}

static void
pause_again(void *ctx)
{
    JdTimer *t = ctx;

    rounds++;
    usleep(PAUSE_US);
    JdTimer_Arm(&loop.clock, t, 0);
}

/* Where each round takes long, timers still run. */
static void
test_timers_of_slow_process(void)
{
    JdTimer slow;

    JdLoop_Init(&loop);
    JdTimer_Init(&slow, pause_again, &slow);
    JdTimer_Arm(&loop.clock, &slow, 0);
    rounds = 0;
    for (unsigned i = 0; i < 12; i++) {
        JdLoop_RunOnce(&loop, 0);
    }
    CU_ASSERT(rounds >= 2);
    JdTimer_Cancel(&loop.clock, &slow);
    JdLoop_Finish(&loop);
}

void
Unit_AddLoop(void)
{
    CU_pSuite s = CU_add_suite("loop", NULL, NULL);

    CU_add_test(s, "clock set back", test_clock_set_back);
    CU_add_test(s, "write and close", test_write_and_close);
    CU_add_test(s, "reads before timers", test_reads_before_timers);
    CU_add_test(s, "timers of a slow process", test_timers_of_slow_process);
}
